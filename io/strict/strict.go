// Package strict decodes JSON into Go values and reports every unknown field
// and wrong type at once, each with its path.
package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"primroseward/core"
)

// Problem is one error in a document.
type Problem struct {
	Path string // such as "children.model/a.limits"
	Text string
}

// Problems lists all errors in a document. It matches core.ErrInvalid.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Path + ": " + problem.Text
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(p, core.ErrInvalid) true.
func (p Problems) Is(target error) bool { return target == core.ErrInvalid }

// Decode decodes one JSON document into out, which must be a pointer. If there is any
// problem, out is left unchanged.
func Decode(data []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var raw any
	if err := dec.Decode(&raw); err != nil {
		return Problems{{Path: "(document)", Text: "not JSON: " + err.Error()}}
	}
	if dec.More() {
		return Problems{{Path: "(document)", Text: "more than one JSON value"}}
	}
	var w walker
	w.value("", raw, reflect.TypeOf(out).Elem())
	if len(w.found) > 0 {
		sort.SliceStable(w.found, func(i, j int) bool { return w.found[i].Path < w.found[j].Path })
		return w.found
	}
	return json.Unmarshal(data, out)
}

type walker struct{ found Problems }

func (w *walker) add(path, format string, args ...any) {
	if path == "" {
		path = "(document)"
	}
	w.found = append(w.found, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (w *walker) value(path string, raw any, t reflect.Type) {
	if raw == nil {
		if k := t.Kind(); k != reflect.Pointer && k != reflect.Slice && k != reflect.Map {
			w.add(path, "must not be null")
		}
		return
	}
	if t.Kind() == reflect.Pointer {
		w.value(path, raw, t.Elem())
		return
	}
	if reflect.PointerTo(t).Implements(textType) {
		w.text(path, raw, t)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.object(path, raw, t)
	case reflect.Map:
		w.table(path, raw, t)
	case reflect.Slice:
		w.list(path, raw, t)
	default:
		w.scalar(path, raw, t)
	}
}

func (w *walker) text(path string, raw any, t reflect.Type) {
	s, ok := raw.(string)
	if !ok {
		w.add(path, "want a string, got %s", kind(raw))
		return
	}
	v := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := v.UnmarshalText([]byte(s)); err != nil {
		w.add(path, "%s", err)
	}
}

func (w *walker) object(path string, raw any, t reflect.Type) {
	m, ok := raw.(map[string]any)
	if !ok {
		w.add(path, "want an object, got %s", kind(raw))
		return
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	for name, v := range m {
		ft, known := fields[name]
		if !known {
			w.add(join(path, name), "unknown field")
			continue
		}
		w.value(join(path, name), v, ft)
	}
}

func (w *walker) table(path string, raw any, t reflect.Type) {
	m, ok := raw.(map[string]any)
	if !ok {
		w.add(path, "want an object, got %s", kind(raw))
		return
	}
	for name, v := range m {
		w.value(join(path, name), v, t.Elem())
	}
}

func (w *walker) list(path string, raw any, t reflect.Type) {
	l, ok := raw.([]any)
	if !ok {
		w.add(path, "want a list, got %s", kind(raw))
		return
	}
	for i, v := range l {
		w.value(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
	}
}

func (w *walker) scalar(path string, raw any, t reflect.Type) {
	data, err := json.Marshal(raw)
	if err == nil {
		err = json.Unmarshal(data, reflect.New(t).Interface())
	}
	if err != nil {
		w.add(path, "want %s, got %s", typeName(t), kind(raw))
	}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}

func kind(raw any) string {
	switch v := raw.(type) {
	case string:
		return fmt.Sprintf("the string %q", v)
	case json.Number:
		return "the number " + v.String()
	case bool:
		return fmt.Sprintf("%t", v)
	case []any:
		return "a list"
	default:
		return "an object"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
