package toolrun

import (
	"crypto/sha1" //nolint:gosec // the specification's checksum
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/grebedock/grebedock/cwl"
)

// maxContentsBytes is the specification's bound on loadContents.
const maxContentsBytes = 64 << 10

// completeInputs adds to the files among a tool's inputs, in place, the contents and secondary files that it requests.
func completeInputs(p *cwl.Process, inputs map[string]any) error {
	for _, input := range p.Inputs {
		if input.LoadContents {
			if err := loadContents(inputs[input.ID]); err != nil {
				return fmt.Errorf("inputs.%s: %w", input.ID, err)
			}
		}
		if err := addSecondaryFiles(p, inputs[input.ID], input.Secondary, inputs); err != nil {
			return fmt.Errorf("inputs.%s: %w", input.ID, err)
		}
	}
	return nil
}

// describeFile makes the value of a file or directory, with its content if requested.
func describeFile(name string, contents bool) (map[string]any, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	f := map[string]any{"class": "File", "path": name, "location": "file://" + name}
	if info.IsDir() {
		f["class"] = "Directory"
		return cwl.WithFileNames(f).(map[string]any), nil
	}
	checksum, err := checksumOf(name)
	if err != nil {
		return nil, err
	}
	f["size"], f["checksum"] = info.Size(), checksum
	f = cwl.WithFileNames(f).(map[string]any)
	if contents {
		err = loadContents(f)
	}
	return f, err
}

// checksumOf is a file's checksum as the specification writes it.
func checksumOf(name string) (string, error) {
	r, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer r.Close()
	sum := sha1.New() //nolint:gosec // the specification's checksum
	if _, err := io.Copy(sum, r); err != nil {
		return "", err
	}
	return fmt.Sprintf("sha1$%x", sum.Sum(nil)), nil
}

// loadContents reads the content of a file, or of each file in a list, into its value.
func loadContents(v any) error {
	switch v := v.(type) {
	case []any:
		for _, x := range v {
			if err := loadContents(x); err != nil {
				return err
			}
		}
	case map[string]any:
		name, _ := v["path"].(string)
		if v["class"] != "File" || name == "" {
			return nil
		}
		info, err := os.Stat(name)
		if err != nil {
			return err
		}
		if info.Size() > maxContentsBytes {
			return fmt.Errorf("%s has %d bytes, more than loadContents takes (%d)", name, info.Size(), maxContentsBytes)
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		v["contents"] = string(b)
	}
	return nil
}

// addSecondaryFiles finds the files that go with a file, or with each file in a list, and adds them to its value. A
// file whose value has secondary files already keeps those.
func addSecondaryFiles(p *cwl.Process, v any, patterns []cwl.Secondary, inputs map[string]any) error {
	if len(patterns) == 0 {
		return nil
	}
	if l, ok := v.([]any); ok {
		for _, x := range l {
			if err := addSecondaryFiles(p, x, patterns, inputs); err != nil {
				return err
			}
		}
		return nil
	}
	f, ok := v.(map[string]any)
	name, _ := f["path"].(string)
	isFile := ok && f["class"] == "File" && name != ""
	if !isFile || f["secondaryFiles"] != nil {
		return nil
	}
	list := []any{}
	for _, s := range patterns {
		pattern, err := cwl.EvalText(s.Pattern, cwl.Scope{Inputs: inputs, Self: f}, p.Req)
		if err != nil {
			return err
		}
		other := secondaryPath(name, pattern, cwl.HasExpr(s.Pattern))
		if _, err := os.Stat(other); err != nil {
			if s.Required == "false" {
				continue
			}
			return fmt.Errorf("the secondary file %s is missing", other)
		}
		d, err := describeFile(other, false)
		if err != nil {
			return err
		}
		list = append(list, d)
	}
	f["secondaryFiles"] = list
	return nil
}

// secondaryPath is the path of a secondary file: a pattern adds to the primary file's path, from which each leading ^
// takes an extension away; an expression gives a name next to the primary file.
func secondaryPath(primary, pattern string, isExpr bool) string {
	base := primary
	for strings.HasPrefix(pattern, "^") {
		base, pattern = strings.TrimSuffix(base, filepath.Ext(base)), pattern[1:]
	}
	if isExpr {
		return filepath.Join(filepath.Dir(primary), pattern)
	}
	return base + pattern
}
