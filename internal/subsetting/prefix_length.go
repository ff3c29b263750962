package subsetting

// Entry is an entry of the external list of back ends.
type Entry struct {
	Service string
	// Open back ends accept new work.
	Open bool
}

// PrefixLength returns how many entries from the start of a list contain the wanted number of open back ends of each
// service, or all of them if there are fewer. If the list keeps its order, the rest need not be read: the amount that
// is read, and how often it can be read, then depend on the work and not on the length of the list.
func PrefixLength(list []Entry, wanted map[string]int) int {
	missing := map[string]int{}
	for _, entry := range list {
		if entry.Open && missing[entry.Service] < wanted[entry.Service] {
			missing[entry.Service]++
		}
	}
	length := 0
	for index, entry := range list {
		if entry.Open && missing[entry.Service] > 0 {
			missing[entry.Service]--
			length = index + 1
		}
	}
	return length
}
