package control

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

func parseStatement(string) (language.Statement, error) {
	return nil, trace.NotImplemented("queries and commands are not available yet")
}

func evaluate(language.Statement, language.View) (*v1.ExecuteResponse, error) {
	return nil, trace.NotImplemented("queries are not available yet")
}
