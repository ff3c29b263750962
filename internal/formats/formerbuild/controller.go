package formerbuild

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/released"
)

// Translator translates between this build and the first format for one controller. Commands that the first format does
// not have take no effect at that controller, which stores and forwards their entries unchanged.
type Translator struct {
	// received are the entries that came from other controllers or from the disk, by their log indexes.
	received map[uint64]*v1.Entry
}

// New returns the translator of a controller that starts.
func New() *Translator { return &Translator{received: map[uint64]*v1.Entry{}} }

// Downgrade returns a message as a process of the first format decodes it.
func Downgrade[Message proto.Message](message Message) (Message, error) {
	former, err := released.Load(formats.First)
	if err != nil {
		return message, trace.Wrap(err)
	}
	downgraded, err := former.Downgrade(message)
	if err != nil {
		return message, trace.Wrap(err)
	}
	return downgraded.(Message), nil
}

// ReadEntries returns the entries of a message or a disk as the controller applies them.
func (c *Translator) ReadEntries(entries []*v1.Entry) ([]*v1.Entry, error) {
	decoded := make([]*v1.Entry, len(entries))
	for index, entry := range entries {
		c.received[entry.GetIndex()] = proto.CloneOf(entry)
		stripped, err := stripEntry(entry)
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
		stripped, err := stripEntry(entry)
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
	return translate(message, c.ReadEntries)
}

// WriteMessage returns a message that this controller sends, without what the first format does not have. Entries that
// this controller received from other controllers or from the disk are sent unchanged (see WriteEntries).
func (c *Translator) WriteMessage(message *v1.ConsensusMessage) (*v1.ConsensusMessage, error) {
	return translate(message, c.WriteEntries)
}

func translate(message *v1.ConsensusMessage, convertEntries func([]*v1.Entry) ([]*v1.Entry, error)) (*v1.ConsensusMessage, error) {
	downgraded, err := Downgrade(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if downgraded.Entries, err = convertEntries(message.GetEntries()); err != nil {
		return nil, trace.Wrap(err)
	}
	downgraded.Snapshot, err = StripSnapshot(message.GetSnapshot())
	return downgraded, trace.Wrap(err)
}

// stripEntry returns an entry whose command holds only what the first format has.
func stripEntry(entry *v1.Entry) (*v1.Entry, error) {
	stripped := proto.CloneOf(entry)
	if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND {
		return stripped, nil
	}
	command := &v1.Command{}
	if err := proto.Unmarshal(entry.GetData(), command); err != nil {
		return stripped, nil // every build skips an entry that cannot be decoded
	}
	former, err := Downgrade(command)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stripped.Data, err = proto.Marshal(former)
	return stripped, trace.Wrap(err)
}

// StripSnapshot returns a snapshot whose state holds only what the first format has; nil for nil.
func StripSnapshot(snapshot *v1.Snapshot) (*v1.Snapshot, error) {
	if snapshot == nil {
		return nil, nil
	}
	data, err := StripState(snapshot.GetData())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stripped := proto.CloneOf(snapshot)
	stripped.Data = data
	return stripped, nil
}

// StripState returns an encoded state with only what the first format has. Equal states have equal encodings.
func StripState(content []byte) ([]byte, error) {
	state := &v1.ReplicatedState{}
	if err := proto.Unmarshal(content, state); err != nil {
		return nil, trace.Wrap(err)
	}
	former, err := Downgrade(state)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(former)
	return data, trace.Wrap(err)
}
