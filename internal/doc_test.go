// Package internal_test contains checks of all packages of the program.
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

// TestExportedItemsAreDocumented checks that exported items have a comment. staticcheck
// checks only the form of comments that exist.
func TestExportedItemsAreDocumented(t *testing.T) {
	declarations := 0
	for _, root := range []string{".", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			for _, decl := range file.Decls {
				for _, name := range undocumented(decl) {
					t.Errorf("%s: exported name %s has no comment", files.Position(decl.Pos()), name)
				}
				declarations++
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if declarations < 500 { // the walk has missed files
		t.Errorf("got %d declarations, want at least 500", declarations)
	}
}

// undocumented returns the exported names of a declaration that have neither a comment of
// their own nor one of their group.
func undocumented(decl ast.Decl) []string {
	switch d := decl.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil && hasExportedReceiver(d) {
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

// hasExportedReceiver reports whether d is a function, or a method of an exported type.
// Methods of other types need no comment, such as the implementations of heap.Interface.
func hasExportedReceiver(d *ast.FuncDecl) bool {
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

// undocumentedSpec returns the exported names of one specification in d that neither it nor
// d documents.
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
