package compat

import (
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type pair struct {
	//lint:ignore U1000 It tells the codec to leave the fields' names out.
	_msgpack struct{} `msgpack:",as_array"`
	First    string
	Second   float32
}

type message struct {
	Name  string            `msgpack:"n"`
	Count uint64            `msgpack:"c,omitempty"`
	Pairs []pair            `msgpack:"p,omitempty"`
	Tags  map[string]uint32 `msgpack:"t,omitempty"`
	Next  *pair             `msgpack:"x,omitempty"`
}

// goldenOf returns the golden entry that a release with the type would have recorded.
func goldenOf(zero any) goldenEntry {
	goType := reflect.TypeOf(zero).Elem()
	typeShape, err := shapeOf(goType, nil)
	So(err, ShouldBeNil)
	encoded, err := encode(sampleOf(goType, nil).Interface())
	So(err, ShouldBeNil)
	return goldenEntry{Shape: *typeShape, Encoded: encoded}
}

func TestCompatibleChanges(t *testing.T) {
	Convey("an unchanged type passes the check", t, func() {
		So(checkType(goldenOf(&message{}), &message{}), ShouldBeNil)
	})
	Convey("a field may be added under a new name if it is omitted when empty", t, func() {
		type later struct {
			Name  string            `msgpack:"n"`
			Count uint64            `msgpack:"c,omitempty"`
			Pairs []pair            `msgpack:"p,omitempty"`
			Tags  map[string]uint32 `msgpack:"t,omitempty"`
			Next  *pair             `msgpack:"x,omitempty"`
			More  []string          `msgpack:"m,omitempty"`
		}
		So(checkType(goldenOf(&message{}), &later{}), ShouldBeNil)
	})
	Convey("a field that is always written must not be added", t, func() {
		type later struct {
			Name string `msgpack:"n"`
			More string `msgpack:"m"`
		}
		type earlier struct {
			Name string `msgpack:"n"`
		}
		So(checkType(goldenOf(&earlier{}), &later{}), ShouldNotBeNil)
	})
	Convey("a struct that is encoded without field names must not gain a field", t, func() {
		type longer struct {
			//lint:ignore U1000 It tells the codec to leave the fields' names out.
			_msgpack struct{} `msgpack:",as_array"`
			First    string
			Second   float32
			Third    float32
		}
		So(checkType(goldenOf(&pair{}), &longer{}), ShouldNotBeNil)
	})
	Convey("a field must not be removed or change its key or type", t, func() {
		type without struct {
			Count uint64 `msgpack:"c,omitempty"`
		}
		type renamed struct {
			Name  string `msgpack:"m"`
			Count uint64 `msgpack:"c,omitempty"`
		}
		type retyped struct {
			Name  string `msgpack:"n"`
			Count string `msgpack:"c,omitempty"`
		}
		type earlier struct {
			Name  string `msgpack:"n"`
			Count uint64 `msgpack:"c,omitempty"`
		}
		So(checkType(goldenOf(&earlier{}), &without{}), ShouldNotBeNil)
		So(checkType(goldenOf(&earlier{}), &renamed{}), ShouldNotBeNil)
		So(checkType(goldenOf(&earlier{}), &retyped{}), ShouldNotBeNil)
	})
	Convey("a field may be renamed in Go, at any depth, if it keeps its key", t, func() {
		type renamedPair struct {
			//lint:ignore U1000 It tells the codec to leave the fields' names out.
			_msgpack struct{} `msgpack:",as_array"`
			Left     string
			Second   float32
		}
		type renamed struct {
			Title   string            `msgpack:"n"`
			Count   uint64            `msgpack:"c,omitempty"`
			Couples []renamedPair     `msgpack:"p,omitempty"`
			Labels  map[string]uint32 `msgpack:"t,omitempty"`
			Next    *renamedPair      `msgpack:"x,omitempty"`
		}
		So(checkType(goldenOf(&message{}), &renamed{}), ShouldBeNil)
	})
	Convey("a renamed field must not change its type or take the key of a remaining field", t, func() {
		type earlier struct {
			First  string `msgpack:"f"`
			Second string `msgpack:"s"`
		}
		type retyped struct {
			Other  uint64 `msgpack:"f"`
			Second string `msgpack:"s"`
		}
		type swapped struct {
			First  string `msgpack:"s"`
			Second string `msgpack:"f"`
		}
		type shifted struct {
			Other string `msgpack:"f"`
			First string `msgpack:"s"`
		}
		So(checkType(goldenOf(&earlier{}), &retyped{}), ShouldNotBeNil)
		So(checkType(goldenOf(&earlier{}), &swapped{}), ShouldNotBeNil)
		So(checkType(goldenOf(&earlier{}), &shifted{}), ShouldNotBeNil)
		type twoNumbers struct {
			//lint:ignore U1000 It tells the codec to leave the fields' names out.
			_msgpack struct{} `msgpack:",as_array"`
			First    float32
			Second   float32
		}
		type exchanged struct {
			//lint:ignore U1000 It tells the codec to leave the fields' names out.
			_msgpack struct{} `msgpack:",as_array"`
			Second   float32
			First    float32
		}
		So(checkType(goldenOf(&twoNumbers{}), &exchanged{}), ShouldNotBeNil)
	})
	Convey("a type must not be removed", t, func() {
		So(checkType(goldenOf(&pair{}), nil), ShouldNotBeNil)
	})
}
