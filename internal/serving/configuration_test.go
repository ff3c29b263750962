package serving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validConfiguration() Configuration {
	return Configuration{
		Number: 3,
		Routes: []Route{
			{Name: "a", Host: "Example.test", Prefix: "/a/", Timeout: time.Second, Splits: []Split{{"s", 90}, {"t", 10}}},
			{Name: "b", Host: "example.test", Prefix: "/a/b/", Timeout: time.Second, Splits: []Split{{"s", 1}}},
			{Name: "c", Host: "other.test", Prefix: "/a/", Timeout: time.Second, Splits: []Split{{"t", 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
	}
}

func TestCheckRefusesInvalidConfigurations(t *testing.T) {
	configuration := validConfiguration()
	require.NoError(t, configuration.Check())
	for name, invalidate := range map[string]func(*Configuration){
		"names the service":   func(c *Configuration) { c.Routes[0].Splits[1].Service = "none" },
		"share host":          func(c *Configuration) { c.Routes[1].Prefix = "/a/" },
		"add up to 0":         func(c *Configuration) { c.Routes[1].Splits[0].Weight = 0 },
		"has no time-out":     func(c *Configuration) { c.Routes[2].Timeout = 0 },
		"stands twice":        func(c *Configuration) { c.Services[1].Name = "s" },
		"begin and end":       func(c *Configuration) { c.Routes[0].Prefix = "/a" },
		"set one of at least": func(c *Configuration) { c.Routes[0].Splits[0].Weight = -1 },
	} {
		configuration := validConfiguration()
		invalidate(&configuration)
		require.ErrorContains(t, configuration.Check(), name)
	}
}

func TestRouteHasTheLongestPrefixOfTheHost(t *testing.T) {
	configuration := validConfiguration()
	table := NewTable(&configuration)
	for target, want := range map[[2]string]string{
		{"example.test", "/a/x"}:      "a",
		{"EXAMPLE.test:80", "/a/b/x"}: "b",
		{"other.test", "/a/b/x"}:      "c",
		{"example.test", "/a"}:        "",
		{"unknown.test", "/a/x"}:      "",
		{"example.test", "/b/a/b/"}:   "",
	} {
		name := ""
		if route := table.Route(target[0], target[1]); route != nil {
			name = route.Name
		}
		require.Equal(t, want, name, "%v", target)
	}
}

func TestChooseServiceFollowsWeights(t *testing.T) {
	route := Route{Splits: []Split{{"s", 90}, {"none", 0}, {"t", 10}}}
	require.Equal(t, "s", route.ChooseService(0))
	require.Equal(t, "s", route.ChooseService(0.899))
	require.Equal(t, "t", route.ChooseService(0.9))
	require.Equal(t, "t", route.ChooseService(0.999))
}

func TestParsePrompt(t *testing.T) {
	prompt := ParsePrompt("m", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	require.Equal(t, 1460, prompt.PromptTokens)
	require.Equal(t, 80, prompt.OutputTokens)
	require.Equal(t, "91bd3f06", prompt.SharedBlockID())
	require.Len(t, prompt.Blocks, 3)
	invalid := ParsePrompt("", "x", "a,b:,:")
	require.Empty(t, invalid.Blocks)
	require.Empty(t, invalid.SharedBlockID())
}
