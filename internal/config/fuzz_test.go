package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// FuzzLoad feeds settings files: a fault is told in one line that names the file,
// and nothing else happens.
func FuzzLoad(f *testing.F) {
	f.Add("role: sidecar\nname: s\nzone: east\nschedulers: [{name: a, zone: east, address: 127.0.0.1:1}]\n")
	f.Add("role: control\nname: c\n")
	f.Add("zoen: east\n")
	f.Add("- 1\n")
	file := filepath.Join(f.TempDir(), "process.yaml")
	f.Fuzz(func(t *testing.T, text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		process, err := Load(file, func(*Process) {})
		if err == nil {
			if process.Name == "" || process.Zone == "" {
				t.Fatalf("taken: %+v", process)
			}
			return
		}
		for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
			if !strings.Contains(line, file) {
				t.Fatalf("a fault that doesn't name the file: %q", line)
			}
		}
	})
}
