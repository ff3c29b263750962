package operatorcommand

import (
	"context"
	"strings"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// statementArgument is a query or command, as one argument or several.
type statementArgument struct {
	Words []string `positional-arg-name:"STATEMENT" required:"1" description:"the query or command, best in quotes"`
}

func (s statementArgument) joined() string { return strings.Join(s.Words, " ") }

// queryCommand implements hazelctl query.
type queryCommand struct {
	global    *globalFlags
	Statement statementArgument `positional-args:"yes"`
}

func (q *queryCommand) run(ctx context.Context, environment Environment) error {
	statement, err := language.ParseStatement(q.Statement.joined())
	if err != nil {
		return trace.Wrap(err)
	}
	if _, isQuery := statement.(language.Query); !isQuery {
		return newUsageError("%q changes something: use run", q.Statement.joined())
	}
	return execute(ctx, environment, q.global, &v1.ExecuteRequest{Text: q.Statement.joined()})
}

// runCommand implements hazelctl run.
type runCommand struct {
	global    *globalFlags
	RequestID string            `long:"request-id" value-name:"ID" description:"identity of the request; the same one again gets the first answer; default: a new one"`
	Statement statementArgument `positional-args:"yes"`
}

func (r *runCommand) run(ctx context.Context, environment Environment) error {
	statement, err := language.ParseStatement(r.Statement.joined())
	if err != nil {
		return trace.Wrap(err)
	}
	if _, isCommand := statement.(language.Command); !isCommand {
		return newUsageError("%q changes nothing: use query", r.Statement.joined())
	}
	return execute(ctx, environment, r.global, &v1.ExecuteRequest{RequestId: r.RequestID, Text: r.Statement.joined()})
}

// execute sends a statement and prints the answer.
func execute(ctx context.Context, environment Environment, global *globalFlags, request *v1.ExecuteRequest) error {
	client, err := global.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer client.Close()
	response, err := client.Execute(ctx, request)
	if err != nil {
		return trace.Wrap(err)
	}
	if global.JSON {
		return writeMessage(environment.Stdout, response)
	}
	writeTable(environment.Stdout, response)
	return nil
}
