// Package internal_test checks what concerns all packages below this folder.
package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestExportedItemsAreDocumented: staticcheck looks at the form of comments, not
// at whether there are any.
func TestExportedItemsAreDocumented(t *testing.T) {
	seen := 0
	for _, root := range []string{".", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			for _, decl := range f.Decls {
				for _, name := range undocumented(decl) {
					t.Errorf("%s: %s has no comment", files.Position(decl.Pos()), name)
				}
				seen++
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if seen < 500 {
		t.Errorf("%d declarations seen", seen)
	}
}

// undocumented lists the exported names of a declaration that have no comment, of
// their own or of their group.
func undocumented(decl ast.Decl) []string {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && exportedReceiver(d) {
			return []string{d.Name.Name}
		}
	case *ast.GenDecl:
		var names []string
		for _, spec := range d.Specs {
			names = append(names, undocumentedSpec(d, spec)...)
		}
		return names
	}
	return nil
}

// exportedReceiver says whether users of the package see a method at all. What the
// heap interface asks for is not worth a comment each time.
func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	typ := d.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if generic, ok := typ.(*ast.IndexExpr); ok {
		typ = generic.X
	}
	name, ok := typ.(*ast.Ident)
	return !ok || name.IsExported()
}

func undocumentedSpec(d *ast.GenDecl, spec ast.Spec) []string {
	var names []string
	switch s := spec.(type) {
	case *ast.TypeSpec:
		if s.Name.IsExported() && s.Doc == nil && d.Doc == nil {
			names = append(names, s.Name.Name)
		}
	case *ast.ValueSpec:
		for _, n := range s.Names {
			if n.IsExported() && s.Doc == nil && s.Comment == nil && d.Doc == nil {
				names = append(names, n.Name)
			}
		}
	}
	return names
}
