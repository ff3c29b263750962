// Command standin2 starts small deployments of real processes and shows cases of the second review on them.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func() int{"early": early, "unframed": unframed}
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]]())
}
