package language

import (
	"net/netip"
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// statementFileName replaces the file name in errors of queries and commands.
const statementFileName = "statement"

// engineKeyword is the subject type of engines, which are not declared objects.
const engineKeyword = "engine"

// ParseStatement parses one query or command. Its mistakes are an Errors inside a trace error, like
// those of ParseDeclarations.
func ParseStatement(text string) (Statement, error) {
	if len(text) > MaximumStatementBytes {
		return nil, trace.Wrap(Errors{errorAt(lexer.Position{Filename: statementFileName, Line: 1, Column: 1}, "the statement is longer than %d bytes", MaximumStatementBytes)})
	}
	syntax, err := statementParser.ParseString(statementFileName, text)
	if err != nil {
		return nil, trace.Wrap(Errors{convertSyntaxError(err, append(tableNames(), keywords...), leadingKeywords)})
	}
	statement, mistake := syntax.statement()
	if mistake != nil {
		return nil, trace.Wrap(Errors{mistake})
	}
	return statement, nil
}

func (s *statementSyntax) statement() (Statement, *Error) {
	switch {
	case s.Show != nil:
		return s.Show.statement()
	case s.Explain != nil:
		subjectType, name, mistake := s.Explain.subject()
		return Explain{Type: subjectType, Name: name}, mistake
	case s.History != nil:
		subjectType, name, mistake := s.History.subject()
		return History{Type: subjectType, Name: name}, mistake
	case s.Delete != nil:
		return s.Delete.deleteStatement()
	case s.SetRole != nil:
		engine, role, mistake := s.SetRole.engineAndRole()
		return SetEngineRole{Engine: engine, Role: role}, mistake
	case s.Pin != nil:
		engine, role, mistake := s.Pin.engineAndRole()
		return PinEngine{Engine: engine, Role: role}, mistake
	case s.Add != nil:
		member, mistake := s.Add.member()
		return AddMember{Member: member}, mistake
	case s.Replace != nil:
		return s.Replace.statement()
	case s.Dump:
		return DumpLogs{}, nil
	}
	return s.namedStatement()
}

// namedStatement returns the command whose only argument is a name, or a mistake if the statement is no such command.
func (s *statementSyntax) namedStatement() (Statement, *Error) {
	commands := []struct {
		name *nameSyntax
		make func(string) Statement
	}{
		{s.Drain, func(name string) Statement { return DrainEngine{Engine: name} }},
		{s.Resume, func(name string) Statement { return ResumeEngine{Engine: name} }},
		{s.Unpin, func(name string) Statement { return UnpinEngine{Engine: name} }},
		{s.Abort, func(name string) Statement { return AbortOrder{Engine: name} }},
		{s.Release, func(name string) Statement { return ReleaseRequest{Signature: name} }},
		{s.Promote, func(name string) Statement { return PromoteMember{ID: name} }},
		{s.Remove, func(name string) Statement { return RemoveMember{ID: name} }},
	}
	for _, command := range commands {
		if command.name != nil {
			name, mistake := command.name.validated()
			return command.make(name), mistake
		}
	}
	return nil, errorAt(lexer.Position{Filename: statementFileName, Line: 1, Column: 1}, "the statement is empty")
}

// subject returns the type and name of an engine or declared object.
func (s *subjectSyntax) subject() (subjectType, name string, mistake *Error) {
	if known := append(schemaKeywords(), engineKeyword); s.Type != engineKeyword && schemaByKeyword(s.Type) == nil {
		return "", "", unknownWordError(s.Pos, "subject", s.Type, known)
	}
	name, mistake = s.Name.validated()
	return s.Type, name, mistake
}

func (s *subjectSyntax) deleteStatement() (Statement, *Error) {
	schema := schemaByKeyword(s.Type)
	if schema == nil {
		return nil, unknownWordError(s.Pos, "type of object", s.Type, schemaKeywords())
	}
	name, mistake := s.Name.validated()
	return DeleteObject{Key: &v1.ObjectKey{Type: schema.objectType, Name: name}}, mistake
}

func (s *roleSyntax) engineAndRole() (engine string, role v1.Role, mistake *Error) {
	if engine, mistake = s.Engine.validated(); mistake != nil {
		return "", 0, mistake
	}
	value, mistake := roleCodec.parse(s.Role, nil)
	if mistake != nil {
		return "", 0, mistake
	}
	return engine, v1.Role(value.Enum()), nil
}

func (s *memberSyntax) member() (*v1.Member, *Error) {
	id, mistake := s.ID.validated()
	if mistake != nil {
		return nil, mistake
	}
	address := s.Address.source()
	if s.Address.Text != nil {
		if address, mistake = unquote(s.Address.Pos, *s.Address.Text); mistake != nil {
			return nil, mistake
		}
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return nil, errorAt(s.Address.Pos, "%s is not an address: expected IP:port such as 10.0.0.7:7400", s.Address.source())
	}
	member := &v1.Member{Id: id, Address: address, Learner: true}
	if s.Zone != nil {
		member.Zone, mistake = s.Zone.validated()
	}
	return member, mistake
}

func (s *replaceSyntax) statement() (Statement, *Error) {
	old, mistake := s.Old.validated()
	if mistake != nil {
		return nil, mistake
	}
	replacement, mistake := s.New.member()
	if mistake == nil && replacement.GetId() == old {
		mistake = errorAt(s.New.ID.Pos, "a member is not replaced by itself: a new or emptied disk has a new identity")
	}
	return ReplaceMember{ID: old, Replacement: replacement}, mistake
}

// statement resolves a query's table and columns.
func (s *showSyntax) statement() (Statement, *Error) {
	table := tableByName(s.Table)
	if table == nil {
		return nil, unknownWordError(s.Pos, "table", s.Table, tableNames())
	}
	show := Show{Table: table.name}
	if mistake := s.applyOf(table, &show); mistake != nil {
		return nil, mistake
	}
	for _, condition := range s.Conditions {
		bound, mistake := condition.bindColumn(table)
		if mistake != nil {
			return nil, mistake
		}
		show.Conditions = append(show.Conditions, bound)
	}
	if s.Order != nil {
		if table.columnIndex(s.Order.Column) < 0 {
			return nil, unknownWordError(s.Order.Pos, "column of "+table.name, s.Order.Column, table.columnNames())
		}
		show.OrderBy, show.Descending = s.Order.Column, s.Order.Descending
	}
	if s.Last == nil {
		return show, nil
	}
	last, err := strconv.Atoi(s.Last.Quantity)
	if err != nil || last < 1 {
		return nil, errorAt(s.Last.Pos, "%s is not a number of rows: expected a whole number from 1", s.Last.source())
	}
	show.Last = last
	return show, nil
}

// applyOf applies the clause "of TYPE NAME".
func (s *showSyntax) applyOf(table *table, show *Show) *Error {
	if s.Of == nil {
		return nil
	}
	name, mistake := s.Of.Name.validated()
	if mistake != nil {
		return mistake
	}
	if len(table.ofTypes) == 0 {
		return errorAt(s.Of.Pos, "%s cannot be narrowed by \"of\": use \"where\"", table.name)
	}
	for _, ofType := range table.ofTypes {
		if ofType == s.Of.Type {
			show.OfType, show.OfName = ofType, name
			return nil
		}
	}
	return unknownWordError(s.Of.Pos, "subject of "+table.name, s.Of.Type, table.ofTypes)
}

// bindColumn parses the condition's value in the type of its column.
func (c *conditionSyntax) bindColumn(table *table) (Condition, *Error) {
	index := table.columnIndex(c.Column)
	if index < 0 {
		return Condition{}, unknownWordError(c.Pos, "column of "+table.name, c.Column, table.columnNames())
	}
	column := table.columns[index]
	condition := Condition{Column: c.Column, Operator: c.Operator}
	if column.numeric {
		number, mistake := wholeNumberCodec{description: "a number", units: column.units}.parseNumber(c.Value)
		if mistake != nil {
			return Condition{}, mistake
		}
		condition.Value = Value{Text: c.Value.source(), Numeric: true}
		condition.Value.Number, _ = number.Float64()
		return condition, nil
	}
	text := c.Value.source()
	if c.Value.Text != nil {
		var mistake *Error
		if text, mistake = unquote(c.Value.Pos, *c.Value.Text); mistake != nil {
			return Condition{}, mistake
		}
	}
	condition.Value = TextValue(text)
	return condition, nil
}
