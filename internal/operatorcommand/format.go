package operatorcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/language"
	"github.com/hazelpitch/hazelpitch/internal/operatorclient"
)

// formatCommand implements hazelctl format.
type formatCommand struct {
	Write  bool `long:"write" short:"w" description:"write the file in place of printing it"`
	Check  bool `long:"check" description:"print nothing, and fail when the file is laid out otherwise"`
	Source struct {
		Path string `positional-arg-name:"FILE" description:"declaration file"`
	} `positional-args:"yes" required:"yes"`
}

func (f *formatCommand) run(_ context.Context, environment Environment) error {
	info, err := os.Stat(f.Source.Path)
	if err != nil || info.IsDir() {
		return trace.BadParameter("can't read %s: give one declaration file", f.Source.Path)
	}
	files, err := operatorclient.ReadSources(f.Source.Path)
	if err != nil {
		return trace.Wrap(err)
	}
	formatted, err := language.FormatSource(files[0])
	if err != nil {
		return trace.Wrap(err)
	}
	changed := formatted != files[0].GetText()
	switch {
	case f.Check && changed:
		return trace.BadParameter("%s is laid out otherwise: run format --write", f.Source.Path)
	case f.Check:
		return nil
	case f.Write && changed:
		return trace.ConvertSystemError(os.WriteFile(f.Source.Path, []byte(formatted), info.Mode().Perm()))
	case f.Write:
		return nil
	}
	fmt.Fprint(environment.Stdout, formatted)
	return nil
}
