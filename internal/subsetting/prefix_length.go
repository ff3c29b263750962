package subsetting

// Entry is an entry of the outside list of back ends.
type Entry struct {
	Service string
	// Open back ends take new work.
	Open bool
}

// PrefixLength returns how many entries from the start of a list hold as many open back ends of each service as
// are wanted, or all that there are. A list that keeps its order need not be read further: what is read of
// it, and how often it can be read, then follow the work and not its length.
func PrefixLength(list []Entry, wanted map[string]int) int {
	lacking := map[string]int{}
	for _, entry := range list {
		if entry.Open && lacking[entry.Service] < wanted[entry.Service] {
			lacking[entry.Service]++
		}
	}
	last := 0
	for index, entry := range list {
		if entry.Open && lacking[entry.Service] > 0 {
			lacking[entry.Service]--
			last = index + 1
		}
	}
	return last
}
