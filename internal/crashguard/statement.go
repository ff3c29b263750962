package crashguard

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// Statement is what the controllers tell of quarantined requests and of suspect parts of prompts.
type Statement struct {
	// Version identifies the lists, which are sent only when it differs from the version that this node has.
	Version  uint64
	Requests []*v1.HeldRequest
	// TellsParts is false if the controller's build does not know suspect parts.
	TellsParts bool
	Parts      []*v1.SuspectPart
}
