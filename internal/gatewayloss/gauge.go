package gatewayloss

import (
	"strconv"
	"strings"
)

// readGauge returns the value of the first metric whose name ends so; -1 when there is none.
func readGauge(metrics, name string) int {
	for line := range strings.Lines(metrics) {
		metric, rest, _ := strings.Cut(line, " ")
		metric, _, _ = strings.Cut(metric, "{")
		if !strings.HasSuffix(metric, name) {
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
