package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
)

const soundInstance = `{"name":"e1","zone":"z","address":"10.0.0.1:1","pool":"p","leaving":true}`

func TestPlatformList(t *testing.T) {
	sound := membership.Instance{Name: "e1", Zone: "z", Address: "10.0.0.1:1", Pool: "p", Leaving: true}
	Convey("entries that others have written are left out, and the others hold", t, func() {
		for _, foreign := range []string{`null`, `7`, `"e"`, `[]`, `{}`, `{"name":7}`, `{"name":"e2","zone":"z","address":"a:1"}`, `{"name":"e2","zone":"z","address":"a:1","pool":"p","leaving":"no"}`} {
			instances, unusable, err := parseInstances([]byte(`{"instances":[` + foreign + `,` + soundInstance + `]}`))
			So(err, ShouldBeNil)
			So(unusable, ShouldEqual, 1)
			So(instances, ShouldResemble, []membership.Instance{sound})
		}
	})
	Convey("a list that is none is no empty list", t, func() {
		for _, body := range []string{``, `[]`, `{"instances":[` + soundInstance, `{"instances":7}`} {
			_, _, err := parseInstances([]byte(body))
			So(err, ShouldNotBeNil)
		}
	})
}

// FuzzPlatformList holds that no bytes make the decoder fail or give a machine without a place.
func FuzzPlatformList(f *testing.F) {
	f.Add([]byte(`{"instances":[` + soundInstance + `,{},null,7]}`))
	f.Add([]byte(`{"instances":[` + soundInstance))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		instances, _, err := parseInstances(body)
		for _, instance := range instances {
			if err != nil || instance.Name == "" || instance.Zone == "" || instance.Address == "" || instance.Pool == "" {
				t.Fatalf("%+v (%v)", instance, err)
			}
		}
	})
}
