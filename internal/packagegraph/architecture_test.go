package packagegraph

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the module's directory relative to this package.
const root = "../.."

var (
	quoted    = regexp.MustCompile("`([^`\n]+)`")
	qualified = regexp.MustCompile(`^[A-Za-z]+(\.[A-Za-z]+){1,2}$`)
	mixedCase = regexp.MustCompile(`^[a-z]+[A-Z][A-Za-z]*$`)
	directory = regexp.MustCompile(`^(internal|cmd|scripts|docs)/[a-z/]+$`)
)

// TestArchitecturePageNamesWhatExists checks that each type, method, function and folder that
// docs/architecture.md names in backquotes exists in the sources.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t)
	checked := 0
	for _, match := range quoted.FindAllStringSubmatch(string(page), -1) {
		name := match[1]
		switch {
		case strings.HasSuffix(name, ".toml"), strings.HasSuffix(name, ".go"), strings.HasSuffix(name, ".md"):
			continue
		case directory.MatchString(name):
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				t.Errorf("docs/architecture.md names a folder that does not exist: %s", name)
			}
		case qualified.MatchString(name), mixedCase.MatchString(name):
			if !declared[name] {
				t.Errorf("docs/architecture.md names an identifier that is not declared: %s", name)
			}
		default:
			continue
		}
		checked++
	}
	if checked < 50 {
		t.Errorf("got %d checked names of docs/architecture.md, want at least 50 (are they in backquotes?)", checked)
	}
}

// declaredNames returns the names of all types, functions and methods that the module's sources
// declare: Name, package.Name, Type.Method and package.Type.Method.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != ".." {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		addDeclarations(names, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func addDeclarations(names map[string]bool, file *ast.File) {
	add := func(name string) { names[name], names[file.Name.Name+"."+name] = true, true }
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			add(d.Name.Name)
			if receiver := receiverType(d); receiver != "" {
				add(receiver + "." + d.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if s, ok := spec.(*ast.TypeSpec); ok {
					add(s.Name.Name)
				}
			}
		}
	}
}

// receiverType returns the name of a method's receiver type, or an empty string for a function
// without a receiver.
func receiverType(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	expr := d.Recv.List[0].Type
	if star, ok := expr.(*ast.StarExpr); ok {
		expr = star.X
	}
	if generic, ok := expr.(*ast.IndexExpr); ok {
		expr = generic.X
	}
	if name, ok := expr.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}
