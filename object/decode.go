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
	d := fileDecoder{source: source}
	objects := d.decodeFile(b)
	return objects, NewInvalid(d.faults)
}

// fileDecoder decodes one file and collects its faults.
type fileDecoder struct {
	source string
	faults []Fault
}

func (d *fileDecoder) report(object, field, format string, args ...any) {
	d.faults = append(d.faults,
		Fault{Source: d.source, Object: object, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// decodeFile decodes the whole file and returns the objects that could be
// decoded.
func (d *fileDecoder) decodeFile(b []byte) []*Object {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(b, &top); err != nil {
		d.report("", "", "%s", DescribeError(err, b))
		return nil
	}
	list, ok := top["objects"]
	if !ok {
		if o := d.decodeObject("object", b); o != nil {
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
		d.report("", "objects", "%s", DescribeError(err, list))
		return nil
	}
	var objects []*Object
	for i, raw := range raws {
		if o := d.decodeObject(fmt.Sprintf("objects[%d]", i), raw); o != nil {
			objects = append(objects, o)
		}
	}
	return objects
}

// decodeObject decodes one object. Faults found before its key is known name the
// object by label.
func (d *fileDecoder) decodeObject(label string, b []byte) *Object {
	var raw decoded
	if err := json.Unmarshal(b, &raw); err != nil {
		d.report(label, FieldOf(err), "%s", DescribeError(err, b))
		return nil
	}
	o := &Object{Kind: raw.Kind, Name: raw.Name, Revision: raw.Revision, Author: raw.Author}
	if o.Kind != "" && o.Name != "" {
		label = o.Key().String()
	}
	d.checkUnknownFields(label, "", b, reflect.TypeFor[decoded]())
	spec := o.newSpec()
	switch {
	case spec == nil:
		d.report(label, "kind", "%q is not a kind; want Service, Route, EndpointSet, Policy, Listener or Organisation", o.Kind)
	case len(raw.Spec) == 0 || string(raw.Spec) == "null":
		d.report(label, "spec", "missing")
	default:
		d.decodeSpec(label, raw.Spec, spec)
	}
	if spec == nil || o.Name == "" && len(d.faults) > 0 {
		return nil
	}
	return o
}

// decodeSpec decodes b into spec, a pointer to the spec of one object.
func (d *fileDecoder) decodeSpec(label string, b []byte, spec any) {
	d.checkUnknownFields(label, "spec.", b, reflect.TypeOf(spec).Elem())
	if err := json.Unmarshal(b, spec); err != nil {
		field := "spec"
		if f := FieldOf(err); f != "" {
			field += "." + f
		}
		d.report(label, field, "%s", DescribeError(err, b))
	}
}

// checkUnknownFields reports every field of the JSON object b that the struct
// type t does not have. Names must match exactly; encoding/json ignores case.
func (d *fileDecoder) checkUnknownFields(label, prefix string, b []byte, t reflect.Type) {
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
			d.checkUnknownFields(label, prefix+name+".", fields[name], ft.Elem())
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

// FieldOf returns the path of the field in a decoding error, or "".
func FieldOf(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return t.Field
	}
	return ""
}

// DescribeError converts a decoding error to the Reason of a Fault.
func DescribeError(err error, b []byte) string {
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
