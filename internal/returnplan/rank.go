package returnplan

import "time"

// maximumLevel is the least urgent level that the plan distinguishes; less urgent ones count as this one.
const maximumLevel = 15

// waitSteps divide the callers of a level by the time since they were first refused, the longest first. Callers of one
// step are equal. The limits grow fourfold from 250 ms, about the time until a first return.
var waitSteps = [...]time.Duration{4 * time.Second, time.Second, 250 * time.Millisecond}

const (
	ranksPerLevel = len(waitSteps) + 1
	rankCount     = (maximumLevel + 1) * ranksPerLevel
)

// rank is the order in which callers get the slots of a span: by level, then by the time that they have waited. Lower
// ranks come first.
type rank int

func rankOf(level int, waited time.Duration) rank {
	step := 0
	for step < len(waitSteps) && waited < waitSteps[step] {
		step++
	}
	return rank(level*ranksPerLevel + step)
}

// step returns the index of the rank within its level.
func (r rank) step() int { return int(r) % ranksPerLevel }

// firstRank returns the lowest rank of a level.
func firstRank(level int) rank { return rank(level * ranksPerLevel) }

func boundedLevel(level int) int { return min(max(level, 0), maximumLevel) }
