package operatorcommand

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/language"
	"github.com/hazelpitch/hazelpitch/internal/operatorclient"
)

// sourceArgument is the path of the declarations that a subcommand reads.
type sourceArgument struct {
	Path string `positional-arg-name:"FILE|DIR" description:"declaration file, or directory of *.hzl files"`
}

// readAndCheck reads the declarations and parses them, so that mistakes are reported before any request.
func (s sourceArgument) readAndCheck() ([]*v1.SourceFile, error) {
	files, err := operatorclient.ReadSources(s.Path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := language.ParseDeclarations(files); err != nil {
		return nil, trace.Wrap(err)
	}
	return files, nil
}

// planCommand implements hazelctl plan.
type planCommand struct {
	global *globalFlags
	Prune  bool           `long:"prune" description:"count declared objects that the files do not name as deleted"`
	Source sourceArgument `positional-args:"yes" required:"yes"`
}

func (p *planCommand) run(ctx context.Context, environment Environment) error {
	files, err := p.Source.readAndCheck()
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := p.global.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer client.Close()
	plan, err := client.Plan(ctx, &v1.PlanRequest{Files: files, Prune: p.Prune})
	if err != nil {
		return trace.Wrap(err)
	}
	if p.global.JSON {
		return writeMessage(environment.Stdout, plan)
	}
	writePlan(environment, plan)
	return nil
}

// writePlan prints a plan and the revision it was computed against.
func writePlan(environment Environment, plan *v1.PlanResponse) {
	if len(plan.GetDifferences()) == 0 {
		fmt.Fprintf(environment.Stdout, "nothing changes: revision %d has it all in force\n", plan.GetRevision())
		return
	}
	writeDifferences(environment.Stdout, plan.GetDifferences())
	fmt.Fprintf(environment.Stdout, "%s to revision %d\n", formatCount(len(plan.GetDifferences()), "change"), plan.GetRevision())
}
