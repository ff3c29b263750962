package formerbuild

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/released"
)

// Translator translates for one controller that stands for one of the first format. Commands that such a controller does
// not know have no effect there, and it keeps and passes on their entries as they came.
type Translator struct {
	// received are the entries that received from elsewhere, by their log indexes.
	received map[uint64]*v1.Entry
}

// New returns the translator of a controller that starts.
func New() *Translator { return &Translator{received: map[uint64]*v1.Entry{}} }

// Downgrade returns a message as a process of the first format reads it.
func Downgrade[Message proto.Message](message Message) (Message, error) {
	former, err := released.Load(formats.First)
	if err != nil {
		return message, trace.Wrap(err)
	}
	read, err := former.Downgrade(message)
	if err != nil {
		return message, trace.Wrap(err)
	}
	return read.(Message), nil
}

// ReadEntries returns entries, from a message or a disk, as the controller applies them.
func (c *Translator) ReadEntries(entries []*v1.Entry) ([]*v1.Entry, error) {
	read := make([]*v1.Entry, len(entries))
	for index, entry := range entries {
		c.received[entry.GetIndex()] = proto.CloneOf(entry)
		stripped, err := stripEntry(entry)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		read[index] = stripped
	}
	return read, nil
}

// WriteEntries returns entries as the controller writes them: those that came as they came, its own without what the
// format does not have.
func (c *Translator) WriteEntries(entries []*v1.Entry) ([]*v1.Entry, error) {
	written := make([]*v1.Entry, len(entries))
	for index, entry := range entries {
		stripped, err := stripEntry(entry)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if came := c.received[entry.GetIndex()]; came != nil && came.GetTerm() == entry.GetTerm() {
			stripped = proto.CloneOf(came)
		}
		written[index] = stripped
	}
	return written, nil
}

// ReadMessage returns a message of another controller as this one reads it.
func (c *Translator) ReadMessage(message *v1.ConsensusMessage) (*v1.ConsensusMessage, error) {
	return translate(message, c.ReadEntries)
}

// WriteMessage returns a message as this controller writes it.
func (c *Translator) WriteMessage(message *v1.ConsensusMessage) (*v1.ConsensusMessage, error) {
	return translate(message, c.WriteEntries)
}

func translate(message *v1.ConsensusMessage, entriesAs func([]*v1.Entry) ([]*v1.Entry, error)) (*v1.ConsensusMessage, error) {
	read, err := Downgrade(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if read.Entries, err = entriesAs(message.GetEntries()); err != nil {
		return nil, trace.Wrap(err)
	}
	read.Snapshot, err = StripSnapshot(message.GetSnapshot())
	return read, trace.Wrap(err)
}

// stripEntry returns an entry with what the first format has of its command.
func stripEntry(entry *v1.Entry) (*v1.Entry, error) {
	stripped := proto.CloneOf(entry)
	if entry.GetType() != v1.EntryType_ENTRY_TYPE_COMMAND {
		return stripped, nil
	}
	command := &v1.Command{}
	if err := proto.Unmarshal(entry.GetData(), command); err != nil {
		return stripped, nil // every build passes over it
	}
	former, err := Downgrade(command)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stripped.Data, err = proto.Marshal(former)
	return stripped, trace.Wrap(err)
}

// StripSnapshot returns a snapshot with what the first format has of its state; nil for none.
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

// StripState returns what the first format has of a state; equal states give equal bytes.
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
