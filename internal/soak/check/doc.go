// Package check finds broken rules in a recorded history, one rule per file. It is deterministic: the same history
// yields the same findings. Rules with a time bound consider only relays that are in contact with the controllers.
package check
