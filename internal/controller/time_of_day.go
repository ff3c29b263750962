package controller

import "time"

// timeOfDay returns the time of this machine's clock in Unix milliseconds. The clock may be wrong and may
// jump; the Core derives a reliable time by agreement with other controllers.
func timeOfDay() int64 { return time.Now().UnixMilli() }
