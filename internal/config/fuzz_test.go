package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// FuzzLoad loads arbitrary settings files and checks that every line of an error names the
// file, and that accepted settings have a name and a zone.
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
				t.Fatalf("settings without a name or a zone were accepted: %+v", process)
			}
			return
		}
		for _, line := range strings.Split(strings.TrimSpace(err.Error()), "\n") {
			if !strings.Contains(line, file) {
				t.Fatalf("an error line does not name the file: %q", line)
			}
		}
	})
}
