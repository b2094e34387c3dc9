// Package packagegraph reads the import graph of a module's packages and renders it as a Markdown
// page with a Mermaid graph and a table. A package's level is one above the highest level among its
// imports, so all arrows of the graph lead downward.
//
// The package parses source files and does not run the Go command. Files for other operating systems
// are included, test files are not. The same sources give the same page.
package packagegraph

import (
	"fmt"
	"go/ast"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"
)

// Package is a package of the module.
type Package struct {
	Path     string   // import path relative to the module path
	Synopsis string   // first sentence of the package comment
	Imports  []string // imported packages of the module, sorted by path
	Level    int      // 0: imports no package of the module
}

// Graph maps the path of each package of a module to the package.
type Graph map[string]*Package

// Read reads the packages of a module from its root directory. Imports from outside the module are
// omitted.
func Read(dir fs.FS, module string) (Graph, error) {
	g := Graph{}
	err := fs.WalkDir(dir, ".", func(name string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && name != "." && skipped(d.Name()):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		return g.add(dir, module, name)
	})
	if err != nil {
		return nil, err
	}
	for p := range g {
		g.setLevel(p)
	}
	return g, nil
}

// skipped reports whether a directory is not searched for packages. It is true for the directories
// that the Go command ignores and for target, which holds build output.
func skipped(dir string) bool {
	return dir == "testdata" || dir == "vendor" || dir == "target" || dir[0] == '.' || dir[0] == '_'
}

// add adds a source file to its package.
func (g Graph) add(dir fs.FS, module, name string) error {
	text, err := fs.ReadFile(dir, name)
	if err != nil {
		return err
	}
	f, err := parser.ParseFile(token.NewFileSet(), name, text, parser.ImportsOnly|parser.ParseComments)
	if err != nil {
		return err
	}
	at := path.Dir(name)
	p := g[at]
	if p == nil {
		p = &Package{Path: at, Level: unknownLevel}
		g[at] = p
	}
	if f.Doc != nil {
		p.Synopsis = new(doc.Package).Synopsis(f.Doc.Text())
	}
	p.addImports(f.Imports, module)
	return nil
}

func (p *Package) addImports(specs []*ast.ImportSpec, module string) {
	for _, s := range specs {
		imported, ok := strings.CutPrefix(strings.Trim(s.Path.Value, `"`), module+"/")
		if ok && !slices.Contains(p.Imports, imported) {
			p.Imports = append(p.Imports, imported)
		}
	}
	slices.Sort(p.Imports)
}

const unknownLevel = -1

// setLevel computes, stores and returns a package's level. It terminates because the compiler rejects
// import cycles.
func (g Graph) setLevel(name string) int {
	p := g[name]
	if p == nil {
		return unknownLevel // the imported package does not exist, so the build fails
	}
	if p.Level == unknownLevel {
		p.Level = 0
		for _, i := range p.Imports {
			p.Level = max(p.Level, g.setLevel(i)+1)
		}
	}
	return p.Level
}

// Reaches reports whether a package imports another one directly or transitively.
func (g Graph) Reaches(from, to string) bool {
	p := g[from]
	return p != nil && slices.ContainsFunc(p.Imports, func(i string) bool { return i == to || g.Reaches(i, to) })
}

// direct returns the imports of a package that it does not also reach through another import. Only
// these need arrows in the graph.
func (g Graph) direct(p *Package) []string {
	return slices.DeleteFunc(slices.Clone(p.Imports), func(to string) bool {
		return slices.ContainsFunc(p.Imports, func(by string) bool { return g.Reaches(by, to) })
	})
}

// levels returns the packages by level, ordered by path.
func (g Graph) levels() (out [][]*Package) {
	for _, name := range slices.Sorted(maps.Keys(g)) {
		p := g[name]
		for len(out) <= p.Level {
			out = append(out, nil)
		}
		out[p.Level] = append(out[p.Level], p)
	}
	return out
}

// Markdown renders the graph as a Markdown page.
func (g Graph) Markdown() string {
	var b strings.Builder
	levels := g.levels()
	arrows := 0
	for _, p := range g {
		arrows += len(p.Imports)
	}
	b.WriteString(
		"# Packages\n\nMade from the imports by `go run ./scripts/packages`; a test fails while it is out of date. ",
	)
	fmt.Fprintf(&b, "%d packages on %d levels, %d imports.\n", len(g), len(levels), arrows)
	b.WriteString(
		"A package imports lower levels only. Arrows that follow from others are left out of the picture; the table " +
			"has all.\n\n",
	)
	g.writeGraph(&b, levels)
	b.WriteString("\n| level | package | imports | what it is |\n| --- | --- | --- | --- |\n")
	for level := len(levels) - 1; level >= 0; level-- {
		for _, p := range levels[level] {
			imports := "-"
			if len(p.Imports) > 0 {
				imports = "`" + strings.Join(p.Imports, "`, `") + "`"
			}
			fmt.Fprintf(
				&b, "| %d | `%s` | %s | %s |\n", level, p.Path, imports,
				strings.ReplaceAll(p.Synopsis, "|", `\|`),
			)
		}
	}
	return b.String()
}

func (g Graph) writeGraph(b *strings.Builder, levels [][]*Package) {
	b.WriteString("```mermaid\nflowchart TB\n")
	for level := len(levels) - 1; level >= 0; level-- {
		fmt.Fprintf(b, "  subgraph level%d[level %d]\n", level, level)
		for _, p := range levels[level] {
			fmt.Fprintf(b, "    %s[\"%s\"]\n", node(p), p.Path)
		}
		b.WriteString("  end\n")
	}
	for level := len(levels) - 1; level >= 0; level-- {
		for _, p := range levels[level] {
			for _, to := range g.direct(p) {
				if g[to] != nil {
					fmt.Fprintf(b, "  %s --> %s\n", node(p), node(g[to]))
				}
			}
		}
	}
	b.WriteString("```\n")
}

// node returns the Mermaid node ID of a package. The prefix prevents collisions with Mermaid's
// keywords.
func node(p *Package) string { return "p_" + strings.NewReplacer("/", "_", "-", "_").Replace(p.Path) }
