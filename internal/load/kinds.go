package load

import (
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// DeclarationsDirectory is the subdirectory of a deployment with its declarations.
const DeclarationsDirectory = "declarations"

// Kind is the declaration of a kind of request, with the parts that package load needs.
type Kind struct {
	Worth      float64
	Deadline   time.Duration
	Repeatable bool
}

// Declarations reads the declaration files in a deployment's directory.
func Declarations(directory string) ([]*v1.SourceFile, error) {
	paths, err := filepath.Glob(filepath.Join(directory, DeclarationsDirectory, "*.hzl"))
	if err != nil || len(paths) == 0 {
		return nil, trace.BadParameter("%s/%s contains no declarations (*.hzl)", directory, DeclarationsDirectory)
	}
	var files []*v1.SourceFile
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		files = append(files, &v1.SourceFile{Name: filepath.Base(path), Text: string(text)})
	}
	return files, nil
}

// Kinds returns the kinds that a deployment declares, by name.
func Kinds(directory string) (map[string]Kind, error) {
	files, err := Declarations(directory)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	objects, err := language.ParseDeclarations(files)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	kinds := make(map[string]Kind)
	for _, object := range objects {
		if kind := object.GetKind(); kind != nil {
			kinds[object.GetKey().GetName()] = Kind{
				Worth: kind.GetWorth(), Deadline: time.Duration(kind.GetDeadlineMs()) * time.Millisecond, Repeatable: kind.GetRepeatable(),
			}
		}
	}
	return kinds, nil
}
