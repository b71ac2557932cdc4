package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestJSONIsDecodedExactly guards against decoders that take a field for another one with a
// similar name: package exactjson alone may use the decoders of a JSON library.
func TestJSONIsDecodedExactly(t *testing.T) {
	libraries := []string{"encoding/json", "github.com/segmentio/encoding/json", "github.com/go-json-experiment/json"}
	decoders := []string{"Unmarshal", "UnmarshalRead", "UnmarshalDecode", "NewDecoder", "Parse"}
	imports := 0
	for _, root := range []string{".", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "exactjson") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			names := importNames(file, libraries)
			imports += len(names)
			ast.Inspect(file, func(node ast.Node) bool {
				selector, ok := node.(*ast.SelectorExpr)
				if !ok || !slices.Contains(decoders, selector.Sel.Name) {
					return true
				}
				if library, ok := selector.X.(*ast.Ident); ok && slices.Contains(names, library.Name) {
					t.Errorf("%s: %s.%s is used, want exactjson.Unmarshal", files.Position(node.Pos()), library.Name, selector.Sel.Name)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if imports < 3 { // the walk has missed files
		t.Errorf("got %d imports of JSON libraries, want at least 3", imports)
	}
}

// importNames returns the names under which file imports the packages at paths.
func importNames(file *ast.File, paths []string) []string {
	var names []string
	for _, imported := range file.Imports {
		path := strings.Trim(imported.Path.Value, `"`)
		switch {
		case !slices.Contains(paths, path):
		case imported.Name != nil:
			names = append(names, imported.Name.Name)
		default:
			names = append(names, path[strings.LastIndexByte(path, '/')+1:])
		}
	}
	return names
}
