package compat

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// shape describes those properties of a type that determine its encoding.
type shape struct {
	Kind string `json:"kind"`
	// Key is set for maps; Element is set for maps, slices, arrays and pointers.
	Key     *shape `json:"key,omitempty"`
	Element *shape `json:"element,omitempty"`
	Length  int    `json:"length,omitempty"`
	// Fields is set for structs. A struct with Array set is encoded without field names.
	Fields []fieldShape `json:"fields,omitempty"`
	Array  bool         `json:"array,omitempty"`
}

type fieldShape struct {
	Name  string `json:"name"`
	Tag   string `json:"tag"`
	Shape shape  `json:"shape"`
}

// arrayMarker is the field whose tag makes the codec encode a struct without field names.
const arrayMarker = "_msgpack"

var basicTypes = map[string]reflect.Type{
	"bool": reflect.TypeFor[bool](), "string": reflect.TypeFor[string](),
	"int": reflect.TypeFor[int](), "int8": reflect.TypeFor[int8](), "int16": reflect.TypeFor[int16](),
	"int32": reflect.TypeFor[int32](), "int64": reflect.TypeFor[int64](),
	"uint": reflect.TypeFor[uint](), "uint8": reflect.TypeFor[uint8](), "uint16": reflect.TypeFor[uint16](),
	"uint32": reflect.TypeFor[uint32](), "uint64": reflect.TypeFor[uint64](),
	"float32": reflect.TypeFor[float32](), "float64": reflect.TypeFor[float64](),
}

// shapeOf returns the shape of a type; enclosing lists the types that contain it, in order to
// detect recursion.
func shapeOf(goType reflect.Type, enclosing []reflect.Type) (*shape, error) {
	for _, outer := range enclosing {
		if outer == goType {
			return nil, fmt.Errorf("type %s contains itself", goType)
		}
	}
	enclosing = append(enclosing, goType)
	if value, ok := wrappedType(goType); ok {
		return shapeOf(value, enclosing)
	}
	result := &shape{Kind: goType.Kind().String()}
	var err error
	switch goType.Kind() {
	case reflect.Pointer, reflect.Slice:
		result.Element, err = shapeOf(goType.Elem(), enclosing)
	case reflect.Array:
		result.Length = goType.Len()
		result.Element, err = shapeOf(goType.Elem(), enclosing)
	case reflect.Map:
		if result.Key, err = shapeOf(goType.Key(), enclosing); err == nil {
			result.Element, err = shapeOf(goType.Elem(), enclosing)
		}
	case reflect.Struct:
		err = result.addFields(goType, enclosing)
	default:
		if basicTypes[result.Kind] == nil {
			return nil, fmt.Errorf("type %s has no supported shape", goType)
		}
	}
	return result, err
}

func (s *shape) addFields(structType reflect.Type, enclosing []reflect.Type) error {
	for index := range structType.NumField() {
		field := structType.Field(index)
		if field.Name == arrayMarker {
			s.Array = strings.Contains(field.Tag.Get("msgpack"), "as_array")
		}
		if !field.IsExported() || field.Tag.Get("msgpack") == "-" {
			continue
		}
		nestedShape, err := shapeOf(field.Type, enclosing)
		if err != nil {
			return fmt.Errorf("%s: %w", field.Name, err)
		}
		s.Fields = append(s.Fields, fieldShape{Name: field.Name, Tag: field.Tag.Get("msgpack"), Shape: *nestedShape})
	}
	return nil
}

// wrappedType returns the type of the Value field of a struct with a custom encoding, which
// encodes only that field. A struct has a custom encoding if a pointer to it implements the codec's
// decoder.
func wrappedType(goType reflect.Type) (reflect.Type, bool) {
	hasCustomDecoder := reflect.PointerTo(goType).Implements(reflect.TypeFor[msgpack.CustomDecoder]())
	if !hasCustomDecoder || goType.Kind() != reflect.Struct {
		return nil, false
	}
	value, ok := goType.FieldByName("Value")
	return value.Type, ok
}

// goType builds a Go type from a shape.
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

// sampleElements is the number of elements of each slice in a sample.
const sampleElements = 2

// sampleOf returns a pointer to a value of the type with no zero field. The value of a field
// depends only on its path, so that an added field does not change the values of others. If
// earlier, the shape of the type in an earlier release, is not nil, a field that was renamed in
// Go but kept its key gets the value that the earlier release gives it.
func sampleOf(goType reflect.Type, earlier *shape) reflect.Value {
	value := reflect.New(goType)
	fillValue(value.Elem(), "", earlier)
	return value
}

func fillValue(value reflect.Value, path string, earlier *shape) {
	if _, isWrapper := wrappedType(value.Type()); isWrapper {
		fillValue(value.FieldByName("Value"), path, earlier)
		return
	}
	if earlier == nil || earlier.Kind != value.Kind().String() {
		earlier = &shape{}
	}
	// number is between 1 and 100, so that it fits all numeric types.
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
		fillValue(value.Elem(), path, earlier.Element)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), sampleElements, sampleElements))
		fillElements(value, path, earlier.Element)
	case reflect.Array:
		fillElements(value, path, earlier.Element)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fillValue(key, path+"/key", earlier.Key)
		fillValue(element, path+"/value", earlier.Element)
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
	for index := range value.Len() {
		fillValue(value.Index(index), fmt.Sprintf("%s/%d", path, index), earlier)
	}
}

func fillFields(value reflect.Value, path string, earlier *shape) {
	encoded := 0
	for index := range value.NumField() {
		field := value.Type().Field(index)
		if field.IsExported() && field.Tag.Get("msgpack") != "-" {
			name, earlierShape := earlier.earlierField(value.Type(), field, encoded)
			fillValue(value.Field(index), path+"/"+name, earlierShape)
			encoded++
		}
	}
}

// earlierField returns the Go name and the shape that a field of a struct had in an earlier
// release, in which the struct had the shape s. position is the index of the field among the
// encoded fields of the struct. A field whose name did not exist in that release corresponds to the
// earlier field with the same key, or with the same position in an array struct, unless the struct
// still has a field with the name of that earlier field.
func (s *shape) earlierField(structType reflect.Type, field reflect.StructField, position int) (string, *shape) {
	for index := range s.Fields {
		if s.Fields[index].Name == field.Name {
			return field.Name, &s.Fields[index].Shape
		}
	}
	for index, candidate := range s.Fields {
		matches := candidate.key() == encodedKey(field.Name, field.Tag.Get("msgpack"))
		if s.Array {
			matches = index == position
		}
		if _, isKept := structType.FieldByName(candidate.Name); matches && !isKept {
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
