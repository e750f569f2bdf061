// Package compat lets tests check that the messages and stored records of this release are
// compatible with those of earlier releases. During an upgrade of a fleet both releases exchange
// messages, and a process may start on a disk that the other release wrote, so each release must
// be able to read what the other one writes.
//
// The golden file of a release holds, for each message or record, its shape and the encoding of
// a sample value. CheckTypes decodes the old sample into the current type. It also decodes a
// sample of the current type into a type built from the old shape, as the old release would.
package compat

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// recordRelease is the release for which this run writes golden files; empty to check instead.
var recordRelease = flag.String("compat.record", "", "write golden files under this release name instead of checking against the existing ones")

const folderMode, fileMode = 0o750, 0o600

// goldenEntry is the shape and the encoded sample of one message or record of a release.
type goldenEntry struct {
	Shape   shape  `json:"shape"`
	Encoded []byte `json:"encoded"`
}

// CheckTypes checks the types of one package, given by name as pointers to zero values, against
// the golden files in testdata/compat. Types that a release did not have yet are not checked
// against it, but every type that it had must be given. With -compat.record, CheckTypes checks
// nothing and writes the golden file of the named release.
func CheckTypes(t *testing.T, types map[string]any) {
	t.Helper()
	folder := filepath.Join("testdata", "compat")
	if *recordRelease != "" {
		if err := writeRelease(filepath.Join(folder, *recordRelease+".json"), types); err != nil {
			t.Fatal(err)
		}
		return
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files in %s: %v", folder, err)
	}
	for _, file := range files {
		release, err := readRelease(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range sortedNames(release) {
			if err := checkType(release[name], types[name]); err != nil {
				t.Errorf("%s of %s: %v", name, filepath.Base(file), err)
			}
		}
	}
}

func sortedNames[T any](values map[string]T) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func writeRelease(file string, types map[string]any) error {
	release := map[string]goldenEntry{}
	for name, zero := range types {
		typeShape, err := shapeOf(reflect.TypeOf(zero).Elem(), nil)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		encoded, err := encode(sampleOf(reflect.TypeOf(zero).Elem(), nil).Interface())
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		release[name] = goldenEntry{Shape: *typeShape, Encoded: encoded}
	}
	raw, err := json.MarshalIndent(release, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(file), folderMode); err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), fileMode)
}

func readRelease(file string) (map[string]goldenEntry, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	release := map[string]goldenEntry{}
	return release, json.Unmarshal(raw, &release)
}

// checkType checks that the current type and the golden type can read each other's encodings.
func checkType(old goldenEntry, zero any) error {
	if zero == nil {
		return errors.New("the type is missing; processes of that release still send or store it")
	}
	current := reflect.TypeOf(zero).Elem()
	if err := checkReadsOld(old, current); err != nil {
		return err
	}
	return checkOldReads(old, current)
}

// checkReadsOld checks that the current type reads what the old release wrote, and that encoding
// the value again yields the same bytes: a new field that is always written would change digests.
func checkReadsOld(old goldenEntry, current reflect.Type) error {
	value := reflect.New(current)
	if err := msgpack.Unmarshal(old.Encoded, value.Interface()); err != nil {
		return fmt.Errorf("the encoding of that release can no longer be decoded: %w", err)
	}
	reencoded, err := encode(value.Interface())
	if err != nil {
		return err
	}
	if !bytes.Equal(reencoded, old.Encoded) {
		return fmt.Errorf("the encoding of that release changes when it is decoded and encoded again: %s", describeDifference(old.Encoded, reencoded))
	}
	return nil
}

// checkOldReads checks that the old release can read what the current type writes, and gets the
// same values in the fields that it has.
func checkOldReads(old goldenEntry, current reflect.Type) error {
	encoded, err := encode(sampleOf(current, &old.Shape).Interface())
	if err != nil {
		return err
	}
	value := reflect.New(old.Shape.goType())
	if err := msgpack.Unmarshal(encoded, value.Interface()); err != nil {
		return fmt.Errorf("processes of that release can't decode the current encoding: %w", err)
	}
	reencoded, err := encode(value.Interface())
	if err != nil {
		return err
	}
	if !bytes.Equal(reencoded, old.Encoded) {
		return fmt.Errorf("processes of that release decode different values from the current encoding: %s", describeDifference(old.Encoded, reencoded))
	}
	return nil
}

func describeDifference(old, current []byte) string {
	var before, after any
	if errors.Join(msgpack.Unmarshal(old, &before), msgpack.Unmarshal(current, &after)) != nil {
		return fmt.Sprintf("%x became %x", old, current)
	}
	return fmt.Sprintf("%v became %v", before, after)
}

// encode encodes a value with the options of the inner protocol.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// CheckBytes checks that this release writes the same bytes as earlier ones, for data with its
// own binary format. It returns the golden bytes of each release by file name. With
// -compat.record, CheckBytes checks nothing, writes the golden file of the named release and
// returns nil.
func CheckBytes(t *testing.T, name string, current []byte) map[string][]byte {
	t.Helper()
	folder := filepath.Join("testdata", "compat")
	if *recordRelease != "" {
		if err := os.MkdirAll(folder, folderMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, *recordRelease+"."+name), current, fileMode); err != nil {
			t.Fatal(err)
		}
		return nil
	}
	files, err := filepath.Glob(filepath.Join(folder, "*."+name))
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files for %s in %s: %v", name, folder, err)
	}
	releases := map[string][]byte{}
	for _, file := range files {
		old, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(old, current) {
			t.Errorf("%s holds %x, but this release writes %x", file, old, current)
		}
		releases[filepath.Base(file)] = old
	}
	return releases
}
