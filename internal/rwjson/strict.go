package rwjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"ragwortwall/internal/rwerror"
)

// Unmarshal decodes content into the struct that v points to. A field that the
// struct does not have, or a value of another type, is an error of kind
// invalid that names its path.
func Unmarshal(content []byte, v any) error {
	target := reflect.ValueOf(v).Elem()
	if err := check("$", content, target.Type()); err != nil {
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

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func check(path string, content json.RawMessage, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) || t == reflect.TypeFor[json.RawMessage]() {
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
		if ok := asTypeError(err, &wrongType); ok {
			return invalid(path, "write a "+kindName(t), "a JSON %s stands here", wrongType.Value)
		}
		return invalid(path, "correct the value", "%v", err)
	}
	return nil
}

func asTypeError(err error, target **json.UnmarshalTypeError) bool {
	e, ok := err.(*json.UnmarshalTypeError) //nolint:errorlint // Unmarshal returns it bare
	*target = e
	return ok
}

func kindName(t reflect.Type) string {
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

func checkStruct(path string, content json.RawMessage, t reflect.Type) error {
	var fields map[string]json.RawMessage
	if json.Unmarshal(content, &fields) != nil {
		return checkValue(path, content, t)
	}
	known := fieldTypes(t)
	for _, name := range sortedKeys(fields) {
		field, ok := known[name]
		if !ok {
			return invalid(path+"."+name, "use one of "+strings.Join(sortedKeys(known), ", "), "there is no such field")
		}
		if err := check(path+"."+name, fields[name], field); err != nil {
			return err
		}
	}
	return nil
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			known[name] = field.Type
		}
	}
	return known
}

func checkMap(path string, content json.RawMessage, t reflect.Type) error {
	var entries map[string]json.RawMessage
	if json.Unmarshal(content, &entries) != nil {
		return checkValue(path, content, t)
	}
	for _, name := range sortedKeys(entries) {
		if err := check(path+"."+name, entries[name], t.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func checkSlice(path string, content json.RawMessage, t reflect.Type) error {
	var items []json.RawMessage
	if json.Unmarshal(content, &items) != nil {
		return checkValue(path, content, t)
	}
	for i, item := range items {
		if err := check(fmt.Sprintf("%s[%d]", path, i), item, t.Elem()); err != nil {
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
