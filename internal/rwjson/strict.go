package rwjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"ragwortwall/internal/rwerror"
)

// Unmarshal decodes content into the struct that v points to. It returns an error of
// kind invalid, with the path and the remedy, for malformed JSON, for a field that
// the struct does not have and for a value of the wrong type.
func Unmarshal(content []byte, v any) error {
	target := reflect.ValueOf(v).Elem()
	if err := checkType("$", content, target.Type()); err != nil {
		return err
	}
	if err := json.Unmarshal(content, v); err != nil {
		return invalid("$", "correct the JSON", "%v", err)
	}
	return nil
}

func invalid(path, remedy, format string, args ...any) error {
	return rwerror.New(rwerror.KindInvalid, remedy, "%s: %s", path, fmt.Sprintf(format, args...))
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// checkType returns an error if content, the value at path, does not fit type t.
func checkType(path string, content json.RawMessage, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) || t == reflect.TypeFor[json.RawMessage]() {
		return checkValue(path, content, t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkStruct(path, content, t)
	case reflect.Map:
		return checkMap(path, content, t)
	case reflect.Slice:
		return checkSlice(path, content, t)
	default:
		return checkValue(path, content, t)
	}
}

func checkValue(path string, content json.RawMessage, t reflect.Type) error {
	if err := json.Unmarshal(content, reflect.New(t).Interface()); err != nil {
		var wrongType *json.UnmarshalTypeError
		if ok := asUnmarshalTypeError(err, &wrongType); ok {
			return invalid(path, "write a "+jsonTypeName(t), "the value is a JSON %s", wrongType.Value)
		}
		return invalid(path, "correct the value", "%v", err)
	}
	return nil
}

func asUnmarshalTypeError(err error, target **json.UnmarshalTypeError) bool {
	e, ok := err.(*json.UnmarshalTypeError) //nolint:errorlint // Unmarshal returns it unwrapped
	*target = e
	return ok
}

func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice:
		return "list"
	default:
		return "number (" + t.String() + ")"
	}
}

// checkStruct checks an object against a struct type. checkValue reports content that
// is not an object.
func checkStruct(path string, content json.RawMessage, t reflect.Type) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(content, &fields) != nil {
		return checkValue(path, content, t)
	}
	types := fieldTypes(t)
	for _, name := range sortedKeys(fields) {
		fieldType, ok := types[name]
		if !ok {
			return invalid(path+"."+name, "use one of "+strings.Join(sortedKeys(types), ", "), "the field is unknown")
		}
		if err := checkType(path+"."+name, fields[name], fieldType); err != nil {
			return err
		}
	}
	return nil
}

// fieldTypes returns the types of a struct's fields by their names in JSON.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			types[name] = field.Type
		}
	}
	return types
}

// checkMap checks each value of an object. checkValue reports content that is not an
// object.
func checkMap(path string, content json.RawMessage, t reflect.Type) error {
	var entries map[string]json.RawMessage
	if json.Unmarshal(content, &entries) != nil {
		return checkValue(path, content, t)
	}
	for _, name := range sortedKeys(entries) {
		if err := checkType(path+"."+name, entries[name], t.Elem()); err != nil {
			return err
		}
	}
	return nil
}

// checkSlice checks each item of a list. checkValue reports content that is not a list.
func checkSlice(path string, content json.RawMessage, t reflect.Type) error {
	var items []json.RawMessage
	if json.Unmarshal(content, &items) != nil {
		return checkValue(path, content, t)
	}
	for i, item := range items {
		if err := checkType(fmt.Sprintf("%s[%d]", path, i), item, t.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
