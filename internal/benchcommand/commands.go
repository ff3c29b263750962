package benchcommand

// command is one subcommand of the command line. Each subcommand's file has a function that returns it;
// commands calls them.
type command struct {
	name  string
	short string
	long  string
	// runner parses the flags, which are its fields with go-flags tags, and runs the command.
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
