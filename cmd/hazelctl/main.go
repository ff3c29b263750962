// Command hazelctl is the operators' command line for a hazelpitch fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/term"

	"github.com/hazelpitch/hazelpitch/internal/operatorcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operatorcommand.Run(ctx, os.Args[1:], operatorcommand.Environment{
		Program:     "hazelctl",
		Stdin:       os.Stdin,
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
		Interactive: term.IsTerminal(int(os.Stdin.Fd())),
		Now:         time.Now,
	})
	stop()
	os.Exit(code)
}
