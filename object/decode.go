package object

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// DecodeFile decodes the objects of one file, which is either {"objects":[...]}
// or a single object. source is the file's name in faults. DecodeFile returns one
// Invalid error with every fault that decoding can find: syntax errors, unknown
// fields, unknown kinds and values of the wrong type. The objects still have to
// pass Validate. With an error, it also returns the objects whose kind and name
// could be decoded, so that Validate can find their other faults; these objects
// must not be published.
func DecodeFile(source string, b []byte) ([]*Object, error) {
	d := decodeRun{source: source}
	objects := d.file(b)
	return objects, NewInvalid(d.faults)
}

// decodeRun decodes one file and collects its faults.
type decodeRun struct {
	source string
	faults []Fault
}

func (d *decodeRun) report(object, field, format string, args ...any) {
	d.faults = append(d.faults, Fault{Source: d.source, Object: object, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// file decodes the whole file and returns the objects that could be decoded.
func (d *decodeRun) file(b []byte) []*Object {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(b, &top); err != nil {
		d.report("", "", "%s", describe(err, b))
		return nil
	}
	list, ok := top["objects"]
	if !ok {
		if o := d.object("object", b); o != nil {
			return []*Object{o}
		}
		return nil
	}
	delete(top, "objects")
	for _, name := range sortedKeys(top) {
		d.report("", name, "unknown field")
	}
	var raws []json.RawMessage
	if err := json.Unmarshal(list, &raws); err != nil {
		d.report("", "objects", "%s", describe(err, list))
		return nil
	}
	var objects []*Object
	for i, raw := range raws {
		if o := d.object(fmt.Sprintf("objects[%d]", i), raw); o != nil {
			objects = append(objects, o)
		}
	}
	return objects
}

// object decodes one object. Faults found before its key is known name the object
// by label.
func (d *decodeRun) object(label string, b []byte) *Object {
	var head decoded
	if err := json.Unmarshal(b, &head); err != nil {
		d.report(label, fieldOf(err), "%s", describe(err, b))
		return nil
	}
	o := &Object{Kind: head.Kind, Name: head.Name, Revision: head.Revision, Author: head.Author}
	if o.Kind != "" && o.Name != "" {
		label = o.Key().String()
	}
	d.unknownFields(label, "", b, reflect.TypeFor[decoded]())
	spec := o.newSpec()
	switch {
	case spec == nil:
		d.report(label, "kind", "%q is not a kind; want Service, Route, EndpointSet, Policy or Listener", o.Kind)
	case len(head.Spec) == 0 || string(head.Spec) == "null":
		d.report(label, "spec", "missing")
	default:
		d.spec(label, head.Spec, spec)
	}
	if spec == nil || o.Name == "" && len(d.faults) > 0 {
		return nil
	}
	return o
}

// spec decodes b into spec, a pointer to the spec of one object.
func (d *decodeRun) spec(label string, b []byte, spec any) {
	d.unknownFields(label, "spec.", b, reflect.TypeOf(spec).Elem())
	if err := json.Unmarshal(b, spec); err != nil {
		field := "spec"
		if f := fieldOf(err); f != "" {
			field += "." + f
		}
		d.report(label, field, "%s", describe(err, b))
	}
}

// unknownFields reports every field of the JSON object b that the struct type t
// does not have. Names must match exactly; encoding/json ignores case.
func (d *decodeRun) unknownFields(label, prefix string, b []byte, t reflect.Type) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(b, &fields) != nil {
		return // the decoder reports a value of the wrong type
	}
	known := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" {
			known[name] = f.Type
		}
	}
	for _, name := range sortedKeys(fields) {
		ft, ok := known[name]
		if !ok {
			d.report(label, prefix+name, "unknown field")
			continue
		}
		if ft.Kind() == reflect.Pointer && ft.Elem().Kind() == reflect.Struct {
			d.unknownFields(label, prefix+name+".", fields[name], ft.Elem())
		}
	}
}

func sortedKeys(m map[string]json.RawMessage) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// fieldOf returns the path of the field in a decoding error, or "".
func fieldOf(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return t.Field
	}
	return ""
}

// describe converts a decoding error to the Reason of a Fault.
func describe(err error, b []byte) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + strings.Count(string(b[:min(int(syntax.Offset), len(b))]), "\n")
		return fmt.Sprintf("not valid JSON at line %d: %v", line, err)
	}
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Sprintf("%s given, want %s", t.Value, t.Type)
	}
	return err.Error()
}
