package control

import (
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// execute executes one statement at the leader.
func (w *testCluster) execute(requestID, operator string, role v1.OperatorRole, text string) (*v1.ExecuteResponse, error) {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return ExecuteReceived{Call: id, Operator: operator, Role: role, Request: &v1.ExecuteRequest{RequestId: requestID, Text: text}}
	})
	if answer.Err != nil {
		return nil, answer.Err
	}
	return answer.Response.(*v1.ExecuteResponse), nil
}

// rowsOf returns the rows of a query's answer, each as its cells joined by "|".
func (w *testCluster) rowsOf(text string) []string {
	w.t.Helper()
	response, err := w.execute("", "alice", v1.OperatorRole_OPERATOR_ROLE_VIEWER, text)
	require.NoError(w.t, err)
	var lines []string
	for _, row := range response.Rows {
		lines = append(lines, strings.Join(row.Cells, "|"))
	}
	return lines
}

func newStatementCluster(t *testing.T) (*testCluster, *testEngine) {
	w := newTestCluster(t, 3, nil)
	engine := w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
	w.apply("request-1", append(serviceObjects(), tenantObject("tenant-1", strings.Repeat("ab", 32)))...)
	w.run(3 * time.Second)
	return w, engine
}

func TestStatementsNeedTheirRole(t *testing.T) {
	w, engine := newStatementCluster(t)
	tests := map[string]struct {
		role    v1.OperatorRole
		text    string
		allowed bool
	}{
		"viewer asks":                    {v1.OperatorRole_OPERATOR_ROLE_VIEWER, "show engines", true},
		"viewer drains":                  {v1.OperatorRole_OPERATOR_ROLE_VIEWER, "drain engine engine-1", false},
		"viewer pins":                    {v1.OperatorRole_OPERATOR_ROLE_VIEWER, "pin engine engine-1 to decode", false},
		"operator deletes":               {v1.OperatorRole_OPERATOR_ROLE_OPERATOR, "delete tenant tenant-1", false},
		"operator removes a member":      {v1.OperatorRole_OPERATOR_ROLE_OPERATOR, "remove member a", false},
		"unknown role asks":              {v1.OperatorRole_OPERATOR_ROLE_UNSPECIFIED, "show engines", false},
		"administrator deletes a tenant": {v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR, "delete tenant tenant-1", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := w.execute(name, "bob", test.role, test.text)
			require.Equal(t, !test.allowed, trace.IsAccessDenied(err), "%v", err)
		})
	}
	w.run(10 * time.Second)
	require.Equal(t, enginecontract.RoleMixed, engine.machine.Role())
	require.Empty(t, w.accepted)
}

func TestCommandIsAppliedOnceAndAudited(t *testing.T) {
	w, engine := newStatementCluster(t)
	const operator = v1.OperatorRole_OPERATOR_ROLE_OPERATOR
	first, err := w.execute("request-2", "bob", operator, "set role of engine engine-1 to decode")
	require.NoError(t, err)
	w.until("role change", func() bool { return engine.machine.Role() == enginecontract.RoleDecode })
	w.until("end in the log", func() bool { return w.leader().core.state.Engine("engine-1").Outstanding == nil })
	again, err := w.execute("request-2", "bob", operator, "set role of engine engine-1 to decode")
	require.NoError(t, err)
	require.Equal(t, first.Message, again.Message)
	w.run(5 * time.Second)
	require.Len(t, w.accepted, 1, "a resend issues no order")

	audit := w.rowsOf("show audit of operator bob")
	require.Len(t, audit, 1)
	require.Contains(t, audit[0], "set role of engine engine-1 to decode")
	explained := w.rowsOf("explain engine engine-1")
	require.Contains(t, explained[0], "role|decode|")
	require.Contains(t, explained[0], "operator bob: set role of engine engine-1 to decode")
	require.Len(t, w.rowsOf("history of engine engine-1"), 1)
}

func TestPinCommandIsADeclaration(t *testing.T) {
	w, engine := newStatementCluster(t)
	const operator = v1.OperatorRole_OPERATOR_ROLE_OPERATOR
	_, err := w.execute("request-2", "bob", operator, "pin engine engine-1 to prefill")
	require.NoError(t, err)
	w.until("role change", func() bool { return engine.machine.Role() == enginecontract.RolePrefill })
	require.Contains(t, w.rowsOf("show pins")[0], "engine-1|prefill|2|")
	_, err = w.execute("request-3", "bob", operator, "unpin engine engine-1")
	require.NoError(t, err)
	require.Empty(t, w.rowsOf("show pins"))
	require.Contains(t, strings.Join(w.rowsOf("history of pin engine-1"), "\n"), "deleted")
	_, err = w.execute("request-4", "bob", operator, "unpin engine engine-1")
	require.True(t, trace.IsNotFound(err))
}

func TestInvalidStatementErrorNamesThePosition(t *testing.T) {
	w, _ := newStatementCluster(t)
	_, err := w.execute("", "bob", v1.OperatorRole_OPERATOR_ROLE_VIEWER, "show tenants where wieght > 1")
	require.True(t, trace.IsBadParameter(err))
	require.ErrorContains(t, err, `statement:1:20: unknown column of tenants "wieght"`)
}
