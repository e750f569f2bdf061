package compat

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// shape describes a type as its encoding sees it.
type shape struct {
	Kind string `json:"kind"`
	// Key and Element belong to maps, Element also to slices, arrays and pointers.
	Key     *shape `json:"key,omitempty"`
	Element *shape `json:"element,omitempty"`
	Length  int    `json:"length,omitempty"`
	// Fields belong to structs; an Array struct is encoded without its fields' names.
	Fields []fieldShape `json:"fields,omitempty"`
	Array  bool         `json:"array,omitempty"`
}

type fieldShape struct {
	Name  string `json:"name"`
	Tag   string `json:"tag"`
	Shape shape  `json:"shape"`
}

// arrayMarker is the field by which the codec knows structs without names.
const arrayMarker = "_msgpack"

var basicTypes = map[string]reflect.Type{
	"bool": reflect.TypeFor[bool](), "string": reflect.TypeFor[string](),
	"int": reflect.TypeFor[int](), "int8": reflect.TypeFor[int8](), "int16": reflect.TypeFor[int16](),
	"int32": reflect.TypeFor[int32](), "int64": reflect.TypeFor[int64](),
	"uint": reflect.TypeFor[uint](), "uint8": reflect.TypeFor[uint8](), "uint16": reflect.TypeFor[uint16](),
	"uint32": reflect.TypeFor[uint32](), "uint64": reflect.TypeFor[uint64](),
	"float32": reflect.TypeFor[float32](), "float64": reflect.TypeFor[float64](),
}

// shapeOf describes a type; open are the types around it.
func shapeOf(of reflect.Type, open []reflect.Type) (*shape, error) {
	for _, around := range open {
		if around == of {
			return nil, fmt.Errorf("%s holds itself", of)
		}
	}
	open = append(open, of)
	if value, ok := sharedValue(of); ok {
		return shapeOf(value, open)
	}
	described := &shape{Kind: of.Kind().String()}
	var err error
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice:
		described.Element, err = shapeOf(of.Elem(), open)
	case reflect.Array:
		described.Length = of.Len()
		described.Element, err = shapeOf(of.Elem(), open)
	case reflect.Map:
		if described.Key, err = shapeOf(of.Key(), open); err == nil {
			described.Element, err = shapeOf(of.Elem(), open)
		}
	case reflect.Struct:
		err = described.addFields(of, open)
	default:
		if basicTypes[described.Kind] == nil {
			return nil, fmt.Errorf("%s has no shape", of)
		}
	}
	return described, err
}

func (s *shape) addFields(of reflect.Type, open []reflect.Type) error {
	for position := range of.NumField() {
		field := of.Field(position)
		if field.Name == arrayMarker {
			s.Array = strings.Contains(field.Tag.Get("msgpack"), "as_array")
		}
		if !field.IsExported() || field.Tag.Get("msgpack") == "-" {
			continue
		}
		of, err := shapeOf(field.Type, open)
		if err != nil {
			return fmt.Errorf("%s: %w", field.Name, err)
		}
		s.Fields = append(s.Fields, fieldShape{Name: field.Name, Tag: field.Tag.Get("msgpack"), Shape: *of})
	}
	return nil
}

// sharedValue returns the type that one with an encoding of its own wraps: its pointer has
// both methods of the codec, and its field Value is what they encode.
func sharedValue(of reflect.Type) (reflect.Type, bool) {
	custom := reflect.PointerTo(of).Implements(reflect.TypeFor[msgpack.CustomDecoder]())
	if !custom || of.Kind() != reflect.Struct {
		return nil, false
	}
	value, ok := of.FieldByName("Value")
	return value.Type, ok
}

// goType makes a type of a shape.
func (s *shape) goType() reflect.Type {
	switch s.Kind {
	case "ptr":
		return reflect.PointerTo(s.Element.goType())
	case "slice":
		return reflect.SliceOf(s.Element.goType())
	case "array":
		return reflect.ArrayOf(s.Length, s.Element.goType())
	case "map":
		return reflect.MapOf(s.Key.goType(), s.Element.goType())
	case "struct":
		return s.structType()
	}
	return basicTypes[s.Kind]
}

func (s *shape) structType() reflect.Type {
	var fields []reflect.StructField
	if s.Array {
		fields = append(fields, reflect.StructField{
			Name: arrayMarker, PkgPath: "compat", Type: reflect.TypeFor[struct{}](), Tag: `msgpack:",as_array"`,
		})
	}
	for _, field := range s.Fields {
		fields = append(fields, reflect.StructField{
			Name: field.Name, Type: field.Shape.goType(), Tag: reflect.StructTag(fmt.Sprintf("msgpack:%q", field.Tag)),
		})
	}
	return reflect.StructOf(fields)
}

// sampleElements is how many elements the slices of a sample have.
const sampleElements = 2

// sampleOf returns a pointer to a value of a type with no field at zero. A field's value
// depends on its path alone, so that a field that is added changes no other. Where earlier is
// the shape of the type in an earlier release, a field that was renamed in Go and kept its key
// has the value that the earlier release gives it; nil stands for no earlier release.
func sampleOf(of reflect.Type, earlier *shape) reflect.Value {
	value := reflect.New(of)
	fill(value.Elem(), "", earlier)
	return value
}

func fill(value reflect.Value, path string, earlier *shape) {
	if _, shared := sharedValue(value.Type()); shared {
		fill(value.FieldByName("Value"), path, earlier)
		return
	}
	if earlier == nil || earlier.Kind != value.Kind().String() {
		earlier = &shape{}
	}
	// number is between 1 and 100: it fits all kinds of numbers.
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(path))
	number := int64(digest.Sum32()%100) + 1
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("%s=%d", path, number))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(number) + 0.5)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), path, earlier.Element)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), sampleElements, sampleElements))
		fillElements(value, path, earlier.Element)
	case reflect.Array:
		fillElements(value, path, earlier.Element)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, path+"/key", earlier.Key)
		fill(element, path+"/value", earlier.Element)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Struct:
		fillFields(value, path, earlier)
	default:
		if value.CanInt() {
			value.SetInt(number)
		} else {
			value.SetUint(uint64(number))
		}
	}
}

func fillElements(value reflect.Value, path string, earlier *shape) {
	for position := range value.Len() {
		fill(value.Index(position), fmt.Sprintf("%s/%d", path, position), earlier)
	}
}

func fillFields(value reflect.Value, path string, earlier *shape) {
	encoded := 0
	for position := range value.NumField() {
		field := value.Type().Field(position)
		if field.IsExported() && field.Tag.Get("msgpack") != "-" {
			name, of := earlier.earlierField(value.Type(), field, encoded)
			fill(value.Field(position), path+"/"+name, of)
			encoded++
		}
	}
}

// earlierField returns the name in Go and the shape that a field of a struct had in the earlier
// release that s describes; position counts the encoded fields of the struct. A field whose name
// is new there is the earlier one of the same key (of the same position in an array struct),
// unless the struct still has a field of that one's name.
func (s *shape) earlierField(in reflect.Type, field reflect.StructField, position int) (string, *shape) {
	for index := range s.Fields {
		if s.Fields[index].Name == field.Name {
			return field.Name, &s.Fields[index].Shape
		}
	}
	for index, candidate := range s.Fields {
		same := candidate.key() == encodedKey(field.Name, field.Tag.Get("msgpack"))
		if s.Array {
			same = index == position
		}
		if _, kept := in.FieldByName(candidate.Name); same && !kept {
			return candidate.Name, &s.Fields[index].Shape
		}
	}
	return field.Name, nil
}

func (f fieldShape) key() string { return encodedKey(f.Name, f.Tag) }

// encodedKey returns the key under which the codec writes a field.
func encodedKey(name, tag string) string {
	if key, _, _ := strings.Cut(tag, ","); key != "" {
		return key
	}
	return name
}
