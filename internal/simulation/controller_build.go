package simulation

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
)

// build is which build a controller's process is of: this one, or one of the first format.
type build struct {
	former     bool
	translator *formerbuild.Translator
}

// mixesBuilds reports whether controllers are replaced by those of another build in this run.
func (w *world) mixesBuilds() bool { return slices.Contains(w.options.Emphasis, FaultReplaceBuild) }

// finds returns what a controller that starts reads of its disk.
func (c *controller) finds(restored consensus.Restored) consensus.Restored {
	if !c.build.former {
		return restored
	}
	c.build.translator = formerbuild.New()
	found := restored
	read := c.reads(&v1.ConsensusMessage{Entries: restored.Entries, Snapshot: restored.Snapshot})
	found.Entries, found.Snapshot = read.GetEntries(), read.GetSnapshot()
	return found
}

// reads returns another controller's message as this one reads it.
func (c *controller) reads(message *v1.ConsensusMessage) *v1.ConsensusMessage {
	if !c.build.former {
		return message
	}
	read, err := c.build.translator.ReadMessage(message)
	if err != nil {
		c.world.checks.fail("formats", "%s cannot read a message: %v", c.name, err)
	}
	return read
}

// writes returns what the process writes of a step's outputs.
func (c *controller) writes(outputs []control.Output) []control.Output {
	if !c.build.former {
		return outputs
	}
	written := slices.Clone(outputs)
	for index, output := range written {
		switch wanted := output.(type) {
		case control.SendPeer:
			wanted.Message = c.writesMessage(wanted.Message)
			written[index] = wanted
		case control.Persist:
			message := c.writesMessage(&v1.ConsensusMessage{Entries: wanted.Entries, Snapshot: wanted.Snapshot})
			wanted.Entries, wanted.Snapshot = message.GetEntries(), message.GetSnapshot()
			written[index] = wanted
		}
	}
	return written
}

func (c *controller) writesMessage(message *v1.ConsensusMessage) *v1.ConsensusMessage {
	written, err := c.build.translator.WriteMessage(message)
	if err != nil {
		c.world.checks.fail("formats", "%s cannot write a message: %v", c.name, err)
	}
	return written
}

// digest returns the hash of the replicated state; where builds are mixed, of what all of them hold.
func (c *controller) digest() uint64 {
	data, err := c.core.State().Snapshot()
	if err == nil && c.world.mixesBuilds() {
		data, err = formerbuild.StripState(data)
	}
	if err != nil {
		c.world.checks.fail("agreement", "%s cannot write its state: %v", c.name, err)
	}
	return xxhash.Sum64(data)
}

// replaceBuild stops a controller, as planned or at once, and starts it as the other build at the end.
func (f *faults) replaceBuild(kind FaultKind, c *controller) func() {
	if !c.alive {
		return nil
	}
	f.note(kind, "%s", c.name)
	c.crash()
	return func() {
		if !c.alive {
			c.build = build{former: !c.build.former, translator: formerbuild.New()}
			c.start()
		}
	}
}
