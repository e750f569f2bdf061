// Package compat holds what processes of an earlier release send and store against the types
// of this one, for tests. While a fleet is upgraded both releases talk to each other, and a
// process may start on the disk that the other release wrote, so that each must read what the
// other one writes.
//
// A golden file of a release lists, for each message or record, its shape and the encoding of
// a sample. Hold decodes the sample by the present type, and decodes a present sample by a
// type made from the old shape, which is what the old release does with it.
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

// record names the release that this run writes golden files for.
var record = flag.String("compat.record", "", "write golden files of this release in place of holding them")

const folderMode, fileMode = 0o750, 0o600

// golden is one message or record of a release.
type golden struct {
	Shape   shape  `json:"shape"`
	Encoded []byte `json:"encoded"`
}

// CheckTypes checks the types of one package, given by name as pointers to zero values, against the
// golden files in testdata/compat. Types that a release did not have yet are left alone, but a
// type that it had must be given.
func CheckTypes(t *testing.T, types map[string]any) {
	t.Helper()
	folder := filepath.Join("testdata", "compat")
	if *record != "" {
		if err := write(filepath.Join(folder, *record+".json"), types); err != nil {
			t.Fatal(err)
		}
		return
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files in %s: %v", folder, err)
	}
	for _, file := range files {
		release, err := read(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range sortedNames(release) {
			if err := check(release[name], types[name]); err != nil {
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

func write(file string, types map[string]any) error {
	release := map[string]golden{}
	for name, zero := range types {
		of, err := shapeOf(reflect.TypeOf(zero).Elem(), nil)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		encoded, err := encode(sampleOf(reflect.TypeOf(zero).Elem(), nil).Interface())
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		release[name] = golden{Shape: *of, Encoded: encoded}
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

func read(file string) (map[string]golden, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	release := map[string]golden{}
	return release, json.Unmarshal(raw, &release)
}

// check holds one type both ways.
func check(old golden, zero any) error {
	if zero == nil {
		return errors.New("is gone; processes of that release still send or store it")
	}
	present := reflect.TypeOf(zero).Elem()
	if err := readsOld(old, present); err != nil {
		return err
	}
	return oldReads(old, present)
}

// readsOld holds that the present type reads what the old release wrote, and that passing it
// on changes nothing: a new field that is always written would make digests differ.
func readsOld(old golden, present reflect.Type) error {
	value := reflect.New(present)
	if err := msgpack.Unmarshal(old.Encoded, value.Interface()); err != nil {
		return fmt.Errorf("its encoding can't be read any more: %w", err)
	}
	again, err := encode(value.Interface())
	if err != nil {
		return err
	}
	if !bytes.Equal(again, old.Encoded) {
		return fmt.Errorf("its encoding changes when it is read and written again: %s", describe(old.Encoded, again))
	}
	return nil
}

// oldReads holds that the old release reads what the present type writes, with the same values
// in what it knows.
func oldReads(old golden, present reflect.Type) error {
	encoded, err := encode(sampleOf(present, &old.Shape).Interface())
	if err != nil {
		return err
	}
	value := reflect.New(old.Shape.goType())
	if err := msgpack.Unmarshal(encoded, value.Interface()); err != nil {
		return fmt.Errorf("processes of that release can't read the present encoding: %w", err)
	}
	again, err := encode(value.Interface())
	if err != nil {
		return err
	}
	if !bytes.Equal(again, old.Encoded) {
		return fmt.Errorf("processes of that release read other values from the present encoding: %s", describe(old.Encoded, again))
	}
	return nil
}

func describe(old, present []byte) string {
	var before, after any
	if errors.Join(msgpack.Unmarshal(old, &before), msgpack.Unmarshal(present, &after)) != nil {
		return fmt.Sprintf("%x, then %x", old, present)
	}
	return fmt.Sprintf("%v, then %v", before, after)
}

// encode encodes as the inner protocol does.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// CheckBytes checks that this release writes the same bytes as earlier ones, for what has a
// form of its own, and returns those of each release by its name.
func CheckBytes(t *testing.T, name string, present []byte) map[string][]byte {
	t.Helper()
	folder := filepath.Join("testdata", "compat")
	if *record != "" {
		if err := os.MkdirAll(folder, folderMode); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, *record+"."+name), present, fileMode); err != nil {
			t.Fatal(err)
		}
		return nil
	}
	files, err := filepath.Glob(filepath.Join(folder, "*."+name))
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files of %s in %s: %v", name, folder, err)
	}
	releases := map[string][]byte{}
	for _, file := range files {
		old, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(old, present) {
			t.Errorf("%s: %x, this release writes %x", file, old, present)
		}
		releases[filepath.Base(file)] = old
	}
	return releases
}
