// Command knownred runs `go test -json` with its arguments and compares the result
// with KNOWN-RED.txt, the list of known failures (package internal/knownred). It
// exits with status 1 if the run does not pass. Run it in the module's root
// directory.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"

	"github.com/grebedock/grebedock/internal/knownred"
)

const module = "github.com/grebedock/grebedock"

func main() {
	text, err := os.ReadFile("KNOWN-RED.txt")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		die(err)
	}
	list, err := knownred.Parse(string(text), isFile)
	if err != nil {
		die(fmt.Errorf("KNOWN-RED.txt: %w", err))
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, os.Args[1:]...)...)
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		die(err)
	}
	if err := cmd.Start(); err != nil {
		die(err)
	}
	run := knownred.NewRun(module, list)
	readErr := run.Read(events, os.Stdout)
	waitErr := cmd.Wait()
	if readErr != nil {
		die(readErr)
	}
	if !run.Verdict(os.Stdout, waitErr == nil) {
		os.Exit(1)
	}
}

// isFile reports whether a path names a regular file.
func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

func die(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
