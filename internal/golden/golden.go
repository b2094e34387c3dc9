// Package golden compares the encoded form of stored, sent and printed data byte
// for byte with golden files. Only tests import it.
//
// Filler sets the values to encode by reflection. The values depend on the order
// and the types of the fields and never on a name, so that renaming Go
// identifiers changes neither the values nor the files.
//
// This package implements the comparison; each package that uses it has its own
// golden files. The comparison detects every change of a form, such as a field
// that moves, that loses its tag or that a decoder no longer reads. With
// -update-golden it writes the files. Review their difference as a change of the
// encoded form.
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

// Compare compares got with the file at path below Dir. With -update-golden, it
// writes got to the file instead.
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
// the file, encodes the result and compares that with the file.
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

// JSON calls RoundTrip for a filled value of type T, with the standard JSON
// encoder and decoder. The modifiers can change fields of the filled value
// first. All fields of T and of the types within it must have a json tag.
func JSON[T any](t testing.TB, path string, modifiers ...func(*T)) {
	t.Helper()
	var v T
	Fill(&v)
	for _, set := range modifiers {
		set(&v)
	}
	CheckTags(t, "json", v)
	encode := func(v T) ([]byte, error) { return json.Marshal(v) }
	decode := func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) }
	RoundTrip(t, path, v, encode, decode)
}
