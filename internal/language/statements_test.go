package language

import (
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func TestParseStatement(t *testing.T) {
	member := &v1.Member{Id: "d4", Address: "10.0.0.7:7400", Zone: "sala-ate", Learner: true}
	const decode = v1.Role_ROLE_DECODE
	tests := map[string]struct {
		want Statement
		role v1.OperatorRole
	}{
		"show tenants where weight > 2":        {Show{Table: "tenants", Conditions: []Condition{{"weight", ">", Value{Text: "2", Number: 2, Numeric: true}}}}, viewer},
		`show engines where zone = "sala-ate"`: {Show{Table: "engines", Conditions: []Condition{{"zone", "=", TextValue("sala-ate")}}}, viewer},
		"show kinds where deadline <= 2s and worth != 0.5": {Show{Table: "kinds", Conditions: []Condition{
			{"deadline", "<=", Value{Text: "2s", Number: 2000, Numeric: true}}, {"worth", "!=", Value{Text: "0.5", Number: 0.5, Numeric: true}}}}, viewer},
		"show revision":                                            {Show{Table: "revision"}, viewer},
		"show orders of engine motor-3 last 5":                     {Show{Table: "orders", OfType: "engine", OfName: "motor-3", Last: 5}, viewer},
		"show audit order by at descending last 20":                {Show{Table: "audit", OrderBy: "at", Descending: true, Last: 20}, viewer},
		"show nodes order by silent":                               {Show{Table: "nodes", OrderBy: "silent"}, viewer},
		"explain engine motor-3":                                   {Explain{"engine", "motor-3"}, viewer},
		`explain tenant "minera.sur"`:                              {Explain{"tenant", "minera.sur"}, viewer},
		"history of kind matching # why":                           {History{"kind", "matching"}, viewer},
		"drain engine motor-3":                                     {DrainEngine{"motor-3"}, operator},
		"resume engine motor-3":                                    {ResumeEngine{"motor-3"}, operator},
		"set role of engine motor-3 to decode":                     {SetEngineRole{"motor-3", decode}, operator},
		"pin engine motor-3 to decode":                             {PinEngine{"motor-3", decode}, operator},
		"unpin engine motor-3":                                     {UnpinEngine{"motor-3"}, operator},
		"abort order of engine motor-3":                            {AbortOrder{"motor-3"}, operator},
		"release request a1b0":                                     {ReleaseRequest{"a1b0"}, operator},
		`release request "0a1b"`:                                   {ReleaseRequest{"0a1b"}, operator},
		"delete tenant minera.sur":                                 {DeleteObject{objectKey(v1.ObjectType_OBJECT_TYPE_TENANT, "minera.sur")}, administrator},
		"add member d4 at 10.0.0.7:7400 zone sala-ate":             {AddMember{member}, administrator},
		`add member d4 at "10.0.0.7:7400" zone "sala-ate"`:         {AddMember{member}, administrator},
		"promote member d4":                                        {PromoteMember{"d4"}, administrator},
		"remove member d1":                                         {RemoveMember{"d1"}, administrator},
		"replace member d1 with d4 at 10.0.0.7:7400 zone sala-ate": {ReplaceMember{"d1", member}, administrator},
		"dump logs": {DumpLogs{}, operator},
	}
	for text, test := range tests {
		t.Run(text, func(t *testing.T) {
			statement, err := ParseStatement(text)
			require.NoError(t, err)
			require.Equal(t, test.want, statement)
			require.Equal(t, test.role, statement.RequiredRole())
		})
	}
}

func TestParseStatementReportsPositionAndExpectedInput(t *testing.T) {
	tests := map[string]string{
		"":                                         "1:1: unexpected end of text: expected show, explain,",
		"shwo tenants":                             `1:1: unexpected "shwo": expected show, explain,`,
		"show tenant":                              `1:6: unknown table "tenant"`,
		"show tenants where wight > 2":             `1:20: unknown column of tenants "wight"`,
		"show tenants where weight > big":          "1:29: big is not a number: expected a number",
		"show kinds where deadline < 2":            "",
		"show kinds where deadline < 2kg":          `1:29: unknown unit "kg": expected ms, s, min or h`,
		"show kinds order by wort":                 `1:21: unknown column of kinds "wort"`,
		"show audit last 0":                        "1:17: 0 is not a number of rows",
		"show audit last 2s":                       "1:17: 2s is not a number of rows",
		"show tenants of engine a":                 `1:17: tenants cannot be narrowed by "of"`,
		"show orders of engin a":                   `1:16: unknown subject of orders "engin": expected engine; did you mean "engine"?`,
		"explain motor a":                          `1:9: unknown subject "motor"`,
		"drain engine":                             "1:13: unexpected end of text: expected a name",
		`drain engine "a b"`:                       `1:14: "a b" is not a name`,
		"pin engine a to prefil":                   `1:17: unknown value "prefil": expected prefill, decode or mixed; did you mean "prefill"?`,
		"add member a at localhost:1":              "1:17: localhost:1 is not an address: expected IP:port",
		"add member a at 10.0.0.1:0":               "1:17: 10.0.0.1:0 is not an address: expected IP:port",
		"replace member a with a at 10.0.0.1:7400": "1:23: a member is not replaced by itself",
		"delete engine a":                          `1:8: unknown type of object "engine"`,
		"dump logs now":                            `1:11: unexpected "now": expected end of text`,
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) {
			_, err := ParseStatement(text)
			if want == "" {
				require.NoError(t, err)
				return
			}
			require.True(t, trace.IsBadParameter(err), "%v", err)
			require.Contains(t, trace.Unwrap(err).Error(), "statement:"+want)
		})
	}
	require.Equal(t, []string{"show", "explain", "history", "drain", "resume", "set", "pin", "unpin", "abort", "release", "delete", "add", "promote", "remove", "replace", "dump"}, leadingKeywords)
	_, err := ParseStatement("shwo tenants")
	require.ErrorContains(t, err, `did you mean "show"?`)
	_, err = ParseStatement("drain engine a" + strings.Repeat(" ", MaximumStatementBytes))
	require.ErrorContains(t, err, "longer than")
}

func TestRoles(t *testing.T) {
	require.True(t, RoleAllows(administrator, operator))
	require.True(t, RoleAllows(viewer, viewer))
	require.False(t, RoleAllows(viewer, operator))
	require.False(t, RoleAllows(v1.OperatorRole_OPERATOR_ROLE_UNSPECIFIED, v1.OperatorRole_OPERATOR_ROLE_UNSPECIFIED))
	require.Equal(t, operator, RequiredRoleToApply([]*v1.Object{{Key: objectKey(v1.ObjectType_OBJECT_TYPE_TENANT, "a")}}, false))
	require.Equal(t, administrator, RequiredRoleToApply([]*v1.Object{{Key: objectKey(v1.ObjectType_OBJECT_TYPE_TENANT, "a")}}, true))
	require.Equal(t, administrator, RequiredRoleToApply([]*v1.Object{{Key: objectKey(v1.ObjectType_OBJECT_TYPE_OPERATOR, "a")}}, false))
}

func FuzzParseStatement(f *testing.F) {
	f.Add("show tenants where weight > 2 and name ~ \"a\" order by name descending last 3")
	f.Add("replace member d1 with d4 at 10.0.0.7:7400 zone a")
	f.Fuzz(func(t *testing.T, text string) {
		statement, err := ParseStatement(text)
		if err != nil {
			require.True(t, trace.IsBadParameter(err))
			return
		}
		if query, isQuery := statement.(Query); isQuery {
			if _, err := Evaluate(query, newView()); err != nil {
				require.True(t, trace.IsNotFound(err), "%v", err)
			}
		}
	})
}
