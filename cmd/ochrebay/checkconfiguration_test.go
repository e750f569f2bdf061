package main

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCheckConfiguration(t *testing.T) {
	Convey("a valid document is summarized without its keys", t, func() {
		var output bytes.Buffer
		So(checkConfiguration(&output, []byte(tenantConfiguration(7, firstKey, secondKey))), ShouldBeNil)
		So(output.String(), ShouldEqual, "valid: generation 7, 4 routes, 1 back ends, keys needed: true, 2 tenants with 3 keys\n")
	})
	Convey("an error names the location of the fault and contains no key", t, func() {
		shared := strings.Replace(tenantConfiguration(7, firstKey), limitedKey, firstKey, 1)
		err := checkConfiguration(&bytes.Buffer{}, []byte(shared))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, `tenant "beta": key 0 is a key of tenant "alpha" too`)
		So(err.Error(), ShouldNotContainSubstring, firstKey)
		So(checkConfiguration(&bytes.Buffer{}, []byte("{")), ShouldNotBeNil)
	})
	Convey("a document is read from a file or from standard input", t, func() {
		read, err := readDocument("-", strings.NewReader("x"))
		So(err, ShouldBeNil)
		So(string(read), ShouldEqual, "x")
		_, err = readDocument(t.TempDir()+"/none", nil)
		So(err, ShouldNotBeNil)
	})
}
