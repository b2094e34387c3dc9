// Command packages writes docs/packages.md, which shows the import graph of the
// module's packages as a diagram and a table (package internal/packagegraph). Run
// it in the module's root directory.
package main

import (
	"fmt"
	"os"

	"github.com/grebedock/grebedock/internal/packagegraph"
)

const (
	module = "github.com/grebedock/grebedock"
	page   = "docs/packages.md"
)

func main() {
	if err := write(); err != nil {
		fmt.Fprintln(os.Stderr, "packages:", err)
		os.Exit(1)
	}
}

func write() error {
	g, err := packagegraph.Read(os.DirFS("."), module)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(g.Markdown()), 0o644)
}
