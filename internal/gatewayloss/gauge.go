package gatewayloss

import (
	"strconv"
	"strings"
)

// gaugeValue returns the value, without its fraction, of the first metric whose name ends with suffix; -1 if there is
// none.
func gaugeValue(metrics, suffix string) int {
	for line := range strings.Lines(metrics) {
		metric, rest, _ := strings.Cut(line, " ")
		metric, _, _ = strings.Cut(metric, "{")
		if !strings.HasSuffix(metric, suffix) {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
		if err != nil {
			return -1
		}
		return int(value)
	}
	return -1
}
