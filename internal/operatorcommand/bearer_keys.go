package operatorcommand

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// keyResult is the output of key new and tenant-key new with --json.
type keyResult struct {
	Key         string `json:"key"`
	Hash        string `json:"hash"`
	Instruction string `json:"instruction"`
}

// operatorKeyCommand implements hazelctl key new.
type operatorKeyCommand struct {
	global *globalFlags
	Name   string `long:"name" required:"yes" value-name:"NAME" description:"name of the operator"`
	Role   string `long:"role" required:"yes" choice:"viewer" choice:"operator" choice:"administrator" description:"what the operator may do"`
}

func (o *operatorKeyCommand) run(_ context.Context, environment Environment) error {
	key := keys.NewBearerKey()
	text := fmt.Sprintf("operator %q { key_hash = %q; role = %s }", o.Name, keys.HashBearerKey(key), o.Role)
	declaration, err := language.FormatSource(&v1.SourceFile{Name: "declaration", Text: text})
	if err != nil {
		return trace.Wrap(err)
	}
	return printKey(environment, o.global, key, "declare:\n"+declaration)
}

// tenantKeyCommand implements hazelctl tenant-key new.
type tenantKeyCommand struct {
	global *globalFlags
	Name   string `long:"tenant" required:"yes" value-name:"NAME" description:"name of the tenant"`
}

func (t *tenantKeyCommand) run(_ context.Context, environment Environment) error {
	key := keys.NewBearerKey()
	// The instruction is not a whole declaration, because applying one would reset the tenant's other fields.
	instruction := fmt.Sprintf("add to api_key_hashes of tenant %s:\n%q\n", t.Name, keys.HashBearerKey(key))
	return printKey(environment, t.global, key, instruction)
}

// printKey prints a new key, which is shown only this once, and what to do with its hash.
func printKey(environment Environment, global *globalFlags, key, instruction string) error {
	result := keyResult{Key: key, Hash: keys.HashBearerKey(key), Instruction: instruction}
	if global.JSON {
		return writeJSON(environment.Stdout, result)
	}
	fmt.Fprintf(environment.Stdout, "key, shown this once: %s\n\n%s", result.Key, result.Instruction)
	return nil
}

// keyHashCommand implements hazelctl key hash.
type keyHashCommand struct{}

func (keyHashCommand) run(_ context.Context, environment Environment) error {
	line, _ := bufio.NewReader(environment.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return newUsageError("standard input holds no key")
	}
	fmt.Fprintln(environment.Stdout, keys.HashBearerKey(key))
	return nil
}
