package simulation

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
)

// build is the build of a controller's process: this build, or one that reads and writes only a former format.
type build struct {
	isFormer   bool
	translator *formerbuild.Translator
}

// mixesBuilds reports whether this run replaces controllers by controllers of the other build.
func (w *world) mixesBuilds() bool { return slices.Contains(w.options.Emphasis, FaultReplaceBuild) }

// formerFormat returns the format of the former build: the first in runs with an even seed, the second in others. Only
// controllers of the second halt on agreements that they do not know.
func (w *world) formerFormat() formats.Number {
	if w.options.Seed%2 == 0 {
		return formats.First
	}
	return formats.Second
}

// readRestored returns the content of the disk as the controller's build reads it.
func (c *controller) readRestored(restored consensus.Restored) consensus.Restored {
	if !c.build.isFormer {
		return restored
	}
	c.build.translator = formerbuild.New(c.world.formerFormat())
	result := restored
	read := c.readMessage(&v1.ConsensusMessage{Entries: restored.Entries, Snapshot: restored.Snapshot})
	result.Entries, result.Snapshot = read.GetEntries(), read.GetSnapshot()
	return result
}

// readMessage returns another controller's message as this controller's build reads it.
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

// writeOutputs returns the outputs of a step as the controller's build writes them.
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

// digest returns the hash of the replicated state. In runs that mix builds it covers only what both builds store.
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

// replaceBuild crashes a controller and starts it as the other build when the fault ends.
func (f *faults) replaceBuild(kind FaultKind, c *controller) func() {
	if !c.isAlive {
		return nil
	}
	f.traceFault(kind, "%s", c.name)
	c.crash()
	return func() {
		if !c.isAlive {
			c.build = build{isFormer: !c.build.isFormer, translator: formerbuild.New(c.world.formerFormat())}
			c.start()
		}
	}
}
