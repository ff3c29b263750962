package formerbuild

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/released"
)

// Translator translates between this build and a former format for one controller. Commands that the former format does
// not have take no effect at that controller, which stores and forwards their entries unchanged.
type Translator struct {
	// number is the highest format that the controller supports.
	number formats.Number
	// received are the entries that came from other controllers or from the disk, by their log indexes.
	received map[uint64]*v1.Entry
}

// New returns the translator of a controller of a former format that starts.
func New(number formats.Number) *Translator {
	return &Translator{number: number, received: map[uint64]*v1.Entry{}}
}

// Downgrade returns a message as a process of the first format decodes it.
func Downgrade[Message proto.Message](message Message) (Message, error) {
	return downgradeTo(formats.First, message)
}

func downgradeTo[Message proto.Message](number formats.Number, message Message) (Message, error) {
	former, err := released.Load(number)
	if err != nil {
		return message, trace.Wrap(err)
	}
	downgraded, err := former.Downgrade(message)
	if err != nil {
		return message, trace.Wrap(err)
	}
	return downgraded.(Message), nil
}

// ReadEntries returns the entries of a message or a disk as the controller applies them. An agreement on a format that
// the controller does not support, but whose entry it decodes, is an error: such a controller halts on it.
func (c *Translator) ReadEntries(entries []*v1.Entry) ([]*v1.Entry, error) {
	decoded := make([]*v1.Entry, len(entries))
	for index, entry := range entries {
		c.received[entry.GetIndex()] = proto.CloneOf(entry)
		stripped, err := c.stripEntry(entry)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		decoded[index] = stripped
	}
	return decoded, nil
}

// WriteEntries returns entries as the controller writes them: received entries unchanged, and its own entries without
// what the first format does not have.
func (c *Translator) WriteEntries(entries []*v1.Entry) ([]*v1.Entry, error) {
	encoded := make([]*v1.Entry, len(entries))
	for index, entry := range entries {
		stripped, err := c.stripEntry(entry)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if original := c.received[entry.GetIndex()]; original != nil && original.GetTerm() == entry.GetTerm() {
			stripped = proto.CloneOf(original)
		}
		encoded[index] = stripped
	}
	return encoded, nil
}

// ReadMessage returns a message of another controller as this controller decodes it.
func (c *Translator) ReadMessage(message *v1.ConsensusMessage) (*v1.ConsensusMessage, error) {
	return c.translate(message, c.ReadEntries)
}

// WriteMessage returns a message that this controller sends, without what the first format does not have. Entries that
// this controller received from other controllers or from the disk are sent unchanged (see WriteEntries).
func (c *Translator) WriteMessage(message *v1.ConsensusMessage) (*v1.ConsensusMessage, error) {
	return c.translate(message, c.WriteEntries)
}

func (c *Translator) translate(message *v1.ConsensusMessage, convertEntries func([]*v1.Entry) ([]*v1.Entry, error)) (*v1.ConsensusMessage, error) {
	downgraded, err := downgradeTo(c.number, message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if downgraded.Formats != nil {
		downgraded.Formats.Highest = min(downgraded.Formats.Highest, uint32(c.number))
	}
	if downgraded.Entries, err = convertEntries(message.GetEntries()); err != nil {
		return nil, trace.Wrap(err)
	}
	downgraded.Snapshot, err = stripSnapshot(c.number, message.GetSnapshot())
	return downgraded, trace.Wrap(err)
}

// stripEntry returns an entry whose command holds only what the controller's format has.
func (c *Translator) stripEntry(entry *v1.Entry) (*v1.Entry, error) {
	stripped := proto.CloneOf(entry)
	if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND {
		return stripped, nil
	}
	command := &v1.Command{}
	if err := proto.Unmarshal(entry.GetData(), command); err != nil {
		return stripped, nil // every build skips an entry that cannot be decoded
	}
	former, err := downgradeTo(c.number, command)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if agreed := formats.Number(former.GetAgreeFormat().GetFormat()); agreed > c.number {
		return nil, trace.BadParameter("log index %d agrees on format %d, a build of format %d halts on it", entry.GetIndex(), agreed, c.number)
	}
	stripped.Data, err = proto.Marshal(former)
	return stripped, trace.Wrap(err)
}

// StripSnapshot returns a snapshot whose state holds only what the first format has; nil for nil.
func StripSnapshot(snapshot *v1.Snapshot) (*v1.Snapshot, error) {
	return stripSnapshot(formats.First, snapshot)
}

func stripSnapshot(number formats.Number, snapshot *v1.Snapshot) (*v1.Snapshot, error) {
	if snapshot == nil {
		return nil, nil
	}
	data, err := stripState(number, snapshot.GetData())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stripped := proto.CloneOf(snapshot)
	stripped.Data = data
	return stripped, nil
}

// StripState returns an encoded state with only what the first format has. Equal states have equal encodings.
func StripState(content []byte) ([]byte, error) { return stripState(formats.First, content) }

func stripState(number formats.Number, content []byte) ([]byte, error) {
	state := &v1.ReplicatedState{}
	if err := proto.Unmarshal(content, state); err != nil {
		return nil, trace.Wrap(err)
	}
	former, err := downgradeTo(number, state)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if agreed := formats.Number(former.GetAgreedFormat()); agreed > number {
		return nil, trace.BadParameter("the snapshot is of format %d, a build of format %d halts on it", agreed, number)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(former)
	return data, trace.Wrap(err)
}
