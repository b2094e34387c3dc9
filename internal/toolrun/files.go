package toolrun

import (
	"crypto/sha1" //nolint:gosec // checksum algorithm of the CWL specification
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/grebedock/grebedock/cwl"
)

// maxContentsBytes is the maximum size of a file for loadContents in the CWL specification.
const maxContentsBytes = 64 << 10

// completeInputs adds the contents and secondary files that a tool requests to its input files, in place.
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

// describeFile returns the CWL value of a file or directory, with the content of a file if contents is set.
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

// checksumOf returns a file's checksum in the format of the CWL specification.
func checksumOf(name string) (string, error) {
	r, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer r.Close()
	sum := sha1.New() //nolint:gosec // checksum algorithm of the CWL specification
	if _, err := io.Copy(sum, r); err != nil {
		return "", err
	}
	return fmt.Sprintf("sha1$%x", sum.Sum(nil)), nil
}

// loadContents adds the content of a file, or of each file in a list, to its CWL value.
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

// addSecondaryFiles finds the secondary files of a file, or of each file in a list, and adds them to its CWL value. It
// does not change a value that already has secondary files.
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

// secondaryPath returns the path of a secondary file. A pattern is a suffix to the path of the primary file; each
// leading ^ first removes an extension from that path. The result of an expression is a name in the directory of the
// primary file.
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
