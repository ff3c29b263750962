package language

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func TestDeploymentDeclarationsAreConsistent(t *testing.T) {
	for _, deployment := range []string{"empleandes", "rawabi"} {
		t.Run(deployment, func(t *testing.T) {
			paths, err := filepath.Glob(filepath.Join("..", "..", "deploy", deployment, "declarations", "*.hzl"))
			require.NoError(t, err)
			var files []*v1.SourceFile
			for _, path := range paths {
				text, err := os.ReadFile(path)
				require.NoError(t, err)
				files = append(files, &v1.SourceFile{Name: path, Text: string(text)})
			}
			objects, err := CheckFiles(files)
			require.NoError(t, err)
			count := map[v1.ObjectType]int{}
			for _, object := range objects {
				count[object.GetKey().GetType()]++
				if kind := object.GetKind(); kind != nil && !kind.GetRepeatable() {
					require.Contains(t, []string{"alert", "deposit-registration"}, object.GetKey().GetName())
				}
			}
			require.Equal(t, 5, count[v1.ObjectType_OBJECT_TYPE_KIND])
			require.Equal(t, 2, count[v1.ObjectType_OBJECT_TYPE_SERVICE])
			require.Equal(t, 3, count[v1.ObjectType_OBJECT_TYPE_TENANT])
		})
	}
}
