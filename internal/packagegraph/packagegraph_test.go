package packagegraph

import (
	"os"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
)

const module = "example.org/m"

func source(name string, imports ...string) *fstest.MapFile {
	text := "// Package " + name + " is for a test. More.\npackage " + name + "\n"
	for _, i := range imports {
		text += "import _ \"" + i + "\"\n"
	}
	return &fstest.MapFile{Data: []byte(text)}
}

func TestLevelsAndArrows(t *testing.T) {
	g, err := Read(fstest.MapFS{
		"top/top.go":         source("top", module+"/low", module+"/mid", "fmt"),
		"mid/mid.go":         source("mid", module+"/low"),
		"mid/more.go":        source("mid", module+"/low", "example.org/other"),
		"low/low.go":         source("low", "fmt"),
		"low/low_test.go":    source("low", module+"/top"),
		"target/x/x.go":      source("x"),
		"mid/testdata/y.go":  source("y"),
		".hidden/z.go":       source("z"),
		"internal/in/in.go":  source("in", module+"/top"),
		"internal/in/doc.md": &fstest.MapFile{Data: []byte("no source")},
	}, module)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]struct {
		level   int
		imports []string
		direct  []string
	}{
		"top":         {2, []string{"low", "mid"}, []string{"mid"}},
		"mid":         {1, []string{"low"}, []string{"low"}},
		"low":         {0, nil, nil},
		"internal/in": {3, []string{"top"}, []string{"top"}},
	} {
		p := g[path]
		if p == nil || p.Level != want.level || !slices.Equal(p.Imports, want.imports) ||
			!slices.Equal(g.direct(p), want.direct) {
			t.Errorf("package %s: got %+v, want %+v", path, p, want)
		}
	}
	if len(g) != 4 {
		t.Errorf("got %d packages, want 4", len(g))
	}
	page := g.Markdown()
	for _, want := range []string{
		"4 packages on 4 levels, 4 imports", "p_top --> p_mid",
		"| 1 | `mid` | `low` | Package mid is for a test. |", `p_internal_in["internal/in"]`,
	} {
		if !strings.Contains(page, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	if strings.Contains(page, "p_top --> p_low") {
		t.Error("the graph has the redundant arrow p_top --> p_low")
	}
}

func read(t *testing.T) Graph {
	t.Helper()
	g, err := Read(os.DirFS("../.."), "github.com/grebedock/grebedock")
	if err != nil {
		t.Fatal(err)
	}
	if len(g) < 30 {
		t.Fatalf("got %d packages, want at least 30", len(g))
	}
	return g
}

func TestPageIsCurrent(t *testing.T) {
	have, err := os.ReadFile("../../docs/packages.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != read(t).Markdown() {
		t.Error("docs/packages.md is out of date: go run ./scripts/packages")
	}
}

// Other modules can import the core and its extensions, which do no input or output. They must not
// import internal packages, directly or transitively.
func TestCoreImportsNothingInternal(t *testing.T) {
	g := read(t)
	for _, core := range []string{"scheduler", "workflow", "schedules", "extension"} {
		if g[core] == nil {
			t.Errorf("package %s does not exist", core)
		}
		for name := range g {
			if strings.HasPrefix(name, "internal/") && g.Reaches(core, name) {
				t.Errorf("%s imports %s", core, name)
			}
		}
	}
}

// Every package must have a package comment, since the page quotes its first sentence.
func TestPackagesAreDescribed(t *testing.T) {
	for name, p := range read(t) {
		if p.Synopsis == "" {
			t.Errorf("%s has no package comment", name)
		}
	}
}
