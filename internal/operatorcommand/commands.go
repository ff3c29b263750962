package operatorcommand

import (
	"github.com/jessevdk/go-flags"
)

// commandEntry describes one subcommand, or a group of them.
type commandEntry struct {
	name, description string
	command           subcommand
	entries           []commandEntry
}

// groupCommand is the flag data of a command that only groups others.
type groupCommand struct{}

// addCommands adds every subcommand to the parser and returns them by their parser command.
func addCommands(parser *flags.Parser, global *globalFlags) (map[*flags.Command]subcommand, error) {
	entries := []commandEntry{
		{name: "plan", description: "show what applying declarations would change", command: &planCommand{global: global}},
		{name: "apply", description: "put declarations in force, after showing what changes", command: &applyCommand{global: global}},
		{name: "query", description: "ask what is in force, since when and why", command: &queryCommand{global: global}},
		{name: "run", description: "run a command such as 'drain engine X'", command: &runCommand{global: global}},
		{name: "check", description: "check declarations without a controller", command: &checkCommand{global: global}},
		{name: "format", description: "lay out a declaration file", command: &formatCommand{}},
		{name: "explain", description: "explain from logs what became of something", entries: []commandEntry{
			{name: "request", description: "tell the story of one request from the logs of relays", command: &explainRequestCommand{}},
		}},
		{name: "authority", description: "the fleet authority", entries: []commandEntry{
			{name: "init", description: "make the fleet authority that issues certificates", command: &authorityInitCommand{global: global}},
		}},
		{name: "certificate", description: "certificates of processes and operators", entries: []commandEntry{
			{name: "issue", description: "issue a certificate", command: &certificateIssueCommand{}},
			{name: "show", description: "show whose a certificate is and how long it is valid", command: &certificateShowCommand{global: global}},
		}},
		{name: "key", description: "operators' keys", entries: []commandEntry{
			{name: "new", description: "make an operator's key, shown once", command: &operatorKeyCommand{global: global}},
			{name: "hash", description: "hash a key read from standard input", command: &keyHashCommand{}},
		}},
		{name: "tenant-key", description: "tenants' API keys", entries: []commandEntry{
			{name: "new", description: "make a tenant's API key, shown once", command: &tenantKeyCommand{global: global}},
		}},
	}
	subcommands := map[*flags.Command]subcommand{}
	return subcommands, addEntries(parser.Command, entries, subcommands)
}

func addEntries(parent *flags.Command, entries []commandEntry, subcommands map[*flags.Command]subcommand) error {
	for _, entry := range entries {
		var data any = &groupCommand{}
		if entry.command != nil {
			data = entry.command
		}
		added, err := parent.AddCommand(entry.name, entry.description, "", data)
		if err != nil {
			return err
		}
		if entry.command != nil {
			subcommands[added] = entry.command
		}
		if err := addEntries(added, entry.entries, subcommands); err != nil {
			return err
		}
	}
	return nil
}
