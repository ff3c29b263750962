package benchcommand

// command is one entry of the command line. Each subcommand's file has a function
// that returns its entry; add it to commands.
type command struct {
	name  string
	short string
	long  string
	// runner holds the flags as go-flags fields and runs the command.
	runner runner
}

// commands returns all subcommands in the order of the help text.
func commands() []command {
	return []command{
		demoCommand(),
		experimentCommand(),
		reportCommand(),
		fleetCommand(),
		gatewayCostCommand(),
		gatewayLossCommand(),
		leaderLossCommand(),
		loadCommand(),
		measureCommand(),
		simulateCommand(),
		soakCommand(),
	}
}
