package operatorclient

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// DeclarationSuffix is the suffix of declaration files.
const DeclarationSuffix = ".hzl"

// ReadSources reads one declaration file, or all files named *.hzl in a directory and its
// subdirectories, sorted by path.
func ReadSources(path string) ([]*v1.SourceFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.BadParameter("can't read %s: %v", path, err)
	}
	if !info.IsDir() {
		file, err := readSource(path)
		return []*v1.SourceFile{file}, trace.Wrap(err)
	}
	var files []*v1.SourceFile
	err = filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, DeclarationSuffix) {
			return err
		}
		file, err := readSource(name)
		files = append(files, file)
		return err
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(files) == 0 {
		return nil, trace.BadParameter("%s holds no file named *%s", path, DeclarationSuffix)
	}
	return files, nil
}

func readSource(path string) (*v1.SourceFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("can't read %s: %v", path, err)
	}
	return &v1.SourceFile{Name: path, Text: string(text)}, nil
}
