package language

import (
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
)

// evaluateRows evaluates a query and returns its rows as lines of cells.
func evaluateRows(t *testing.T, text string) string {
	t.Helper()
	statement, err := ParseStatement(text)
	require.NoError(t, err)
	response, err := Evaluate(statement, newView())
	require.NoError(t, err)
	require.Equal(t, uint64(3), response.GetRevision())
	var lines []string
	for _, row := range response.GetRows() {
		require.Len(t, row.GetCells(), len(response.GetColumns()))
		lines = append(lines, strings.Join(row.GetCells(), "|"))
	}
	return strings.Join(lines, "\n")
}

func TestEvaluate(t *testing.T) {
	tests := map[string]string{
		"show tenants where weight > 2":                       "minera|abababababab|3|500 tokens/s|0 requests||3|2023-11-14T22:13:23.000Z",
		"show tenants where weight < 3":                       "",
		"show tenants where tokens_per_second = 500 tokens/s": "minera|abababababab|3|500 tokens/s|0 requests||3|2023-11-14T22:13:23.000Z",
		`show engines where zone = "sala-ate"`:                "motor-1|motor|sala-ate||decode||serving|emparejo|1|minas 1, selva|2023-11-14T22:14:56.000Z||7|0|1500ms",
		"show engines where load_age < 1h":                    "motor-1|motor|sala-ate||decode||serving|emparejo|1|minas 1, selva|2023-11-14T22:14:56.000Z||7|0|1500ms",
		"show engines where order ~ prefill":                  "motor-2|motor|sala-callao||decode||changing|||||4/8 set role prefill|0|0|",
		"show revision":                                       "3|2023-11-14T22:13:23.000Z|ana|3|def456|1",
		"show revisions where operator = beto":                "2|2023-11-14T22:13:22.000Z|beto|2||1",
		"show nodes where revision < 3":                       "gateway-b|gateway|sala-ate||2||false",
		"show nodes where program = controller":               "controller-a|controller|||||false",
		"show nodes where silent > 0s":                        "gateway-a|gateway|sala-ate||3|500ms|false",
		"show members order by id descending":                 "d2|||learner|0|\nd1|10.0.0.1:7400||leader|9|",
		"show orders of engine motor-1":                       "motor-1|4/7|set role decode|2023-11-14T22:14:55.000Z|done|2023-11-14T22:14:56.000Z|output waits|",
		"show claims of tenant minera":                        "minera|alert|k||unknown|",
		"show claims of tenant other":                         "",
		"show audit last 1":                                   "2|2023-11-14T22:14:59.000Z|beto||drain engine motor-1|refused|0|",
		"show audit of operator ana":                          "1|2023-11-14T22:14:58.000Z|ana||apply|accepted|1|",
		"show shares":                                         "minera|gateway-a|500 tokens/s|3 requests",
		"show decisions":                                      "motor|2023-11-14T22:14:59.000Z|0|no change pays back",
		"history of engine motor-2":                           "motor-2|4/8|set role prefill|2023-11-14T22:14:55.000Z|outstanding||prompts wait|",
		"history of tenant minera": "1|2023-11-14T22:13:21.000Z|ana|1|abc123|added: api_key_hashes = [\"" + strings.Repeat("ab", 32) + "\"]; weight = 2; tokens_per_second = 100 tokens/s\n" +
			"2|2023-11-14T22:13:22.000Z|beto|2||changed: tokens_per_second = 100 tokens/s → 500 tokens/s\n" +
			"3|2023-11-14T22:13:23.000Z|ana|3|def456|changed: weight = 2 → 3",
		"explain tenant minera": "api_key_hashes|abababababab|2023-11-14T22:13:21.000Z|1|declared by ana, change 1, source abc123\n" +
			"weight|3|2023-11-14T22:13:23.000Z|3|declared by ana, change 3, source def456\n" +
			"tokens_per_second|500 tokens/s|2023-11-14T22:13:22.000Z|2|declared by beto, change 2\n" +
			"concurrency|0 requests|2023-11-14T22:13:21.000Z|1|standard value; declared by ana, change 1, source abc123\n" +
			"models||2023-11-14T22:13:21.000Z|1|standard value; declared by ana, change 1, source abc123\n" +
			"share of gateway-a|500 tokens/s, 3 requests|||lent by the leader by demand",
		"explain engine motor-1": "role|decode|2023-11-14T22:14:56.000Z||order 4/7: output waits\n" +
			"state|serving|||\nservice|motor|||machine list\nzone|sala-ate|||machine list\n" +
			"model|emparejo 1|||reported by the engine; the model is not declared\n" +
			"adapter|minas 1|2023-11-14T22:13:22.000Z|2|version 2 is declared, not loaded yet; declared by beto, change 2\n" +
			"adapter|selva|||reported by the engine; the adapter is not declared\n" +
			"planner|0 changes|2023-11-14T22:14:59.000Z||no change pays back\n" +
			"load|7 running, 0 waiting, 0% of the KV cache|2023-11-14T22:14:58.500Z||last report",
		"explain engine motor-2": "role|decode|||reported by the engine; no order is remembered\n" +
			"state|changing|||order 4/8 is under way\nservice|motor|||machine list\nzone|sala-callao|||machine list\n" +
			"model||||reported by the engine; the model is not declared\norder|4/8 set role prefill|2023-11-14T22:14:55.000Z||prompts wait\n" +
			"held back|load adapter minas 2: 2 of 2 loads are under way|||declared, and not ordered yet\n" +
			"planner|0 changes|2023-11-14T22:14:59.000Z||no change pays back",
		"explain engine motor-3": "role|mixed|||reported by the engine; no order is remembered\n" +
			"state|changing|||order 4/6: operator ana: drain engine motor-3\nservice|motor|||machine list\nzone|sala-callao|||machine list\n" +
			"model||||reported by the engine; the model is not declared\nplanner|0 changes|2023-11-14T22:14:59.000Z||no change pays back",
		"explain service motor": "type|engine||1|declared by ana, change 1, source abc123\nmodel|emparejo||1|declared by ana, change 1, source abc123\n" +
			"policy calm|change_price 3||1|declared by ana, change 1, source abc123\nplanner|0 changes|2023-11-14T22:14:59.000Z||no change pays back",
	}
	for text, want := range tests {
		t.Run(text, func(t *testing.T) { require.Equal(t, want, evaluateRows(t, text)) })
	}
}

func TestEvaluateShowsNoSecret(t *testing.T) {
	for _, table := range tables {
		require.NotContains(t, evaluateRows(t, "show "+table.name), "secret-salt")
	}
	require.NotContains(t, evaluateRows(t, "explain tenant minera")+evaluateRows(t, "history of tenant minera"), "secret-salt")
}

func TestEvaluateSuggestsNearestKnownName(t *testing.T) {
	for text, want := range map[string]string{
		"explain engine moter-1":    `engine moter-1 is not known; did you mean "motor-1"?`,
		"explain tenant mineria":    `tenant mineria is not known; did you mean "minera"?`,
		"history of kind other":     "kind other is not known",
		"history of engine motor-9": `engine motor-9 is not known; did you mean "motor-1"?`,
	} {
		statement, err := ParseStatement(text)
		require.NoError(t, err)
		_, err = Evaluate(statement, newView())
		require.True(t, trace.IsNotFound(err))
		require.ErrorContains(t, err, want)
	}
	_, err := Evaluate(DrainEngine{"a"}, newView())
	require.True(t, trace.IsBadParameter(err))
}
