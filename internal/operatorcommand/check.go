package operatorcommand

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/language"
	"github.com/hazelpitch/hazelpitch/internal/operatorclient"
)

// checkCommand implements hazelctl check.
type checkCommand struct {
	global  *globalFlags
	Partial bool           `long:"partial" description:"the files are a part of what is declared: do not check what they name"`
	Source  sourceArgument `positional-args:"yes" required:"yes"`
}

// checkResult is the output of check with --json.
type checkResult struct {
	Files   int `json:"files"`
	Objects int `json:"objects"`
}

func (c *checkCommand) run(_ context.Context, environment Environment) error {
	files, err := operatorclient.ReadSources(c.Source.Path)
	if err != nil {
		return trace.Wrap(err)
	}
	check := language.CheckFiles
	if c.Partial {
		check = language.ParseDeclarations
	}
	objects, err := check(files)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.global.JSON {
		return writeJSON(environment.Stdout, checkResult{Files: len(files), Objects: len(objects)})
	}
	fmt.Fprintf(environment.Stdout, "%s in %s: no mistake found\n", formatCount(len(objects), "object"), formatCount(len(files), "file"))
	return nil
}
