// Package check finds broken rules in a recorded history, one rule a file. It is pure: the same history
// has the same findings. Rules with a time bound look only at what relays in touch did.
package check
