package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
)

const usableInstance = `{"name":"e1","zone":"z","address":"10.0.0.1:1","pool":"p","leaving":true}`

func TestPlatformList(t *testing.T) {
	want := membership.Instance{Name: "e1", Zone: "z", Address: "10.0.0.1:1", Pool: "p", Leaving: true}
	Convey("unusable entries are skipped and counted, and the remaining entries are returned", t, func() {
		for _, unusableEntry := range []string{`null`, `7`, `"e"`, `[]`, `{}`, `{"name":7}`, `{"name":"e2","zone":"z","address":"a:1"}`, `{"name":"e2","zone":"z","address":"a:1","pool":"p","leaving":"no"}`} {
			instances, unusable, err := parseInstances([]byte(`{"instances":[` + unusableEntry + `,` + usableInstance + `]}`))
			So(err, ShouldBeNil)
			So(unusable, ShouldEqual, 1)
			So(instances, ShouldResemble, []membership.Instance{want})
		}
	})
	Convey("a body that is no list is an error and not an empty list", t, func() {
		for _, body := range []string{``, `[]`, `{"instances":[` + usableInstance, `{"instances":7}`} {
			_, _, err := parseInstances([]byte(body))
			So(err, ShouldNotBeNil)
		}
	})
}

// FuzzPlatformList checks that no input makes the decoder panic or return an instance that lacks a
// required field.
func FuzzPlatformList(f *testing.F) {
	f.Add([]byte(`{"instances":[` + usableInstance + `,{},null,7]}`))
	f.Add([]byte(`{"instances":[` + usableInstance))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		instances, _, err := parseInstances(body)
		for _, instance := range instances {
			if err != nil || instance.Name == "" || instance.Zone == "" || instance.Address == "" || instance.Pool == "" {
				t.Fatalf("unusable instance %+v was returned (%v)", instance, err)
			}
		}
	})
}
