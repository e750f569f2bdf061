package config

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/scheduling"
)

func TestPolicy(t *testing.T) {
	const settings = "role: gateway\nname: g\nzone: east\nlisten: {address: \"127.0.0.1:1\", http: \"127.0.0.1:2\", callers: \"127.0.0.1:3\"}\n" +
		"cluster: {seeds: [\"127.0.0.1:4\"]}\n"
	load := func(text string) (Process, error) {
		file := filepath.Join(t.TempDir(), "process.yaml")
		So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
		return Load(file, nil)
	}
	Convey("mechanisms can be turned off by name, and all are on by default", t, func() {
		process, err := load(settings)
		So(err, ShouldBeNil)
		So(process.Policy.Disable, ShouldBeEmpty)
		for _, mechanism := range scheduling.Mechanisms() {
			process, err = load(settings + "policy: {disable: [" + string(mechanism) + "]}\n")
			So(err, ShouldBeNil)
			So(process.Policy.Disable.Has(mechanism), ShouldBeTrue)
		}
	})
	Convey("an unknown mechanism name is rejected with a list of the valid names", t, func() {
		_, err := load(settings + "policy: {disable: [home, hoem]}\n")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "hoem")
		So(err.Error(), ShouldContainSubstring, "near-reads")
	})
}
