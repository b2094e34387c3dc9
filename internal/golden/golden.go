// Package golden holds encoded forms fixed: what is stored, sent or printed is
// compared byte for byte with files that are kept beside the tests. Only tests
// import it.
//
// Values to encode are filled by reflection, by the order and the types of their
// fields and never by a name, so that renaming Go identifiers changes neither
// the values nor the files.
//
// It owns the comparison, and each package its own files. It promises that a
// form cannot change unnoticed: not by a field that moves, that loses its tag or
// that a decoder no longer reads. With -update-golden it writes the files, whose
// difference is then to be reviewed as a change of the form.
package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update-golden", false, "write the golden files instead of comparing with them")

// Dir is the directory of a package's golden files.
const Dir = "testdata/golden"

// Compare compares got with the file at path below Dir, or writes the file with
// -update-golden.
func Compare(t testing.TB, path string, got []byte) {
	t.Helper()
	path = filepath.Join(Dir, path)
	if *update {
		err := os.MkdirAll(filepath.Dir(path), 0o755)
		if err = errors.Join(err, os.WriteFile(path, got, 0o644)); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoded form has changed\n got %q\nwant %q", path, got, want)
	}
}

// Read reads the file at path below Dir.
func Read(t testing.TB, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(Dir, path))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// RoundTrip compares the encoded form of v with the file at path. It then decodes
// the file, and compares what that gives, encoded again, with the file.
func RoundTrip[T any](t testing.TB, path string, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	compareEncoded(t, path, v, encode)
	read, err := decode(Read(t, path))
	if err != nil {
		t.Fatalf("%s: decode: %v", path, err)
	}
	compareEncoded(t, path, read, encode)
}

func compareEncoded[T any](t testing.TB, path string, v T, encode func(T) ([]byte, error)) {
	t.Helper()
	got, err := encode(v)
	if err != nil {
		t.Fatalf("%s: encode: %v", path, err)
	}
	Compare(t, path, got)
}

// JSON is RoundTrip of a filled T with the standard JSON encoder and decoder. The
// functions may change fields of the filled value first. All fields of T and of
// the types within it must be tagged.
func JSON[T any](t testing.TB, path string, sets ...func(*T)) {
	t.Helper()
	var v T
	Fill(&v)
	for _, set := range sets {
		set(&v)
	}
	CheckTags(t, "json", v)
	encode := func(v T) ([]byte, error) { return json.Marshal(v) }
	decode := func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) }
	RoundTrip(t, path, v, encode, decode)
}
