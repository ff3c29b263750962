package controller

import "time"

// timeOfDay reads this machine's clock, in milliseconds since the start of 1970. It may be wrong and
// jump: only the Core's agreement with other controllers makes a time of it.
func timeOfDay() int64 { return time.Now().UnixMilli() }
