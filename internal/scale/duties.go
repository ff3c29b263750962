package scale

import "path"

// addDuties adds one controller's calls by procedure, steps of its core by input, and
// bytes by kind of connection.
func addDuties(duties map[string]*DutyUsage, before, after scrape, seconds float64) {
	duty := func(name string) *DutyUsage {
		if duties[name] == nil {
			duties[name] = &DutyUsage{}
		}
		return duties[name]
	}
	perSecond := func(family, label string, labels ...string) map[string]float64 {
		rates := map[string]float64{}
		then := before.filter(family, labels).byLabel(family, label)
		for name, value := range after.filter(family, labels).byLabel(family, label) {
			rates[name] = (value - then[name]) / seconds
		}
		return rates
	}
	for procedure, rate := range perSecond("hazelpitch_controller_calls_total", "procedure") {
		duty("call " + path.Base(procedure)).Messages += rate
	}
	for procedure, rate := range perSecond("hazelpitch_controller_message_bytes_total", "procedure", "direction", "received") {
		duty("call " + path.Base(procedure)).Received += rate
	}
	for procedure, rate := range perSecond("hazelpitch_controller_message_bytes_total", "procedure", "direction", "sent") {
		duty("call " + path.Base(procedure)).Sent += rate
	}
	for input, rate := range perSecond("hazelpitch_controller_core_steps_total", "input") {
		duty("step " + input).Messages += rate
	}
	for input, rate := range perSecond("hazelpitch_controller_core_step_seconds_total", "input") {
		duty("step " + input).Core += rate
	}
	for connection, rate := range perSecond("hazelpitch_controller_wire_bytes_total", "connection", "direction", "received") {
		duty("wire " + connection).Received += rate
	}
	for connection, rate := range perSecond("hazelpitch_controller_wire_bytes_total", "connection", "direction", "sent") {
		duty("wire " + connection).Sent += rate
	}
	for name, rate := range perSecond("hazelpitch_controller_engine_exchanges_total", "duty") {
		duty("engine " + name).Messages += rate
	}
}
