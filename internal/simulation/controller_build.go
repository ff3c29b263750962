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
	isFormer   bool
	translator *formerbuild.Translator
}

// mixesBuilds reports whether controllers are replaced by those of another build in this run.
func (w *world) mixesBuilds() bool { return slices.Contains(w.options.Emphasis, FaultReplaceBuild) }

// readRestored returns what a controller that starts reads of its disk.
func (c *controller) readRestored(restored consensus.Restored) consensus.Restored {
	if !c.build.isFormer {
		return restored
	}
	c.build.translator = formerbuild.New()
	result := restored
	read := c.readMessage(&v1.ConsensusMessage{Entries: restored.Entries, Snapshot: restored.Snapshot})
	result.Entries, result.Snapshot = read.GetEntries(), read.GetSnapshot()
	return result
}

// readMessage returns another controller's message as this one readMessage it.
func (c *controller) readMessage(message *v1.ConsensusMessage) *v1.ConsensusMessage {
	if !c.build.isFormer {
		return message
	}
	read, err := c.build.translator.ReadMessage(message)
	if err != nil {
		c.world.checks.fail("formats", "%s cannot read a message: %v", c.name, err)
	}
	return read
}

// writeOutputs returns what the process writeOutputs of a step's outputs.
func (c *controller) writeOutputs(outputs []control.Output) []control.Output {
	if !c.build.isFormer {
		return outputs
	}
	written := slices.Clone(outputs)
	for index, output := range written {
		switch action := output.(type) {
		case control.SendPeer:
			action.Message = c.writeMessage(action.Message)
			written[index] = action
		case control.Persist:
			message := c.writeMessage(&v1.ConsensusMessage{Entries: action.Entries, Snapshot: action.Snapshot})
			action.Entries, action.Snapshot = message.GetEntries(), message.GetSnapshot()
			written[index] = action
		}
	}
	return written
}

func (c *controller) writeMessage(message *v1.ConsensusMessage) *v1.ConsensusMessage {
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
	if !c.isAlive {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	c.crash()
	return func() {
		if !c.isAlive {
			c.build = build{isFormer: !c.build.isFormer, translator: formerbuild.New()}
			c.start()
		}
	}
}
