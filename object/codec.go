package object

import (
	"bytes"
	"encoding/json"

	"siskingw/faults"
)

// header holds the fields that every object has in front of its spec.
type header struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Author   string `json:"author,omitempty"`
}

// encoded is the JSON form of an object on the way out.
type encoded struct {
	header
	Spec any `json:"spec"`
}

// decoded is the JSON form of an object on the way in.
type decoded struct {
	header
	Spec json.RawMessage `json:"spec"`
}

// Spec returns the spec that matches the kind, or nil when it is not set.
func (o *Object) Spec() any {
	switch {
	case o.Kind == KindService && o.Service != nil:
		return o.Service
	case o.Kind == KindRoute && o.Route != nil:
		return o.Route
	case o.Kind == KindEndpointSet && o.EndpointSet != nil:
		return o.EndpointSet
	case o.Kind == KindPolicy && o.Policy != nil:
		return o.Policy
	}
	return nil
}

// newSpec sets an empty spec for the kind and returns it; nil for an unknown kind.
func (o *Object) newSpec() any {
	switch o.Kind {
	case KindService:
		o.Service = new(ServiceSpec)
	case KindRoute:
		o.Route = new(RouteSpec)
	case KindEndpointSet:
		o.EndpointSet = new(EndpointSetSpec)
	case KindPolicy:
		o.Policy = new(PolicySpec)
	}
	return o.Spec()
}

// Canonical returns the canonical JSON encoding: fixed field order, no white
// space. It returns an Internal error for an object without a spec.
func (o *Object) Canonical() ([]byte, error) {
	spec := o.Spec()
	if spec == nil {
		return nil, faults.Internal.New("object %s has no spec", o.Key())
	}
	b, err := json.Marshal(encoded{header{o.Kind, o.Name, o.Revision, o.Author}, spec})
	if err != nil {
		return nil, faults.Internal.Wrap(err, "object %s cannot be encoded", o.Key())
	}
	return b, nil
}

// MarshalJSON returns the canonical encoding.
func (o *Object) MarshalJSON() ([]byte, error) { return o.Canonical() }

// UnmarshalJSON reads one object. It returns an Invalid error for an unknown
// kind, an unknown field or a missing spec. DecodeFile reports all faults.
func (o *Object) UnmarshalJSON(b []byte) error {
	var in decoded
	if err := decodeStrict(b, &in); err != nil {
		return faults.Invalid.Wrap(err, "object cannot be decoded")
	}
	next := Object{Kind: in.Kind, Name: in.Name, Revision: in.Revision, Author: in.Author}
	spec := next.newSpec()
	if spec == nil {
		return faults.Invalid.New("object %s has an unknown kind", next.Key())
	}
	if len(in.Spec) == 0 || string(in.Spec) == "null" {
		return faults.Invalid.New("object %s has no spec", next.Key())
	}
	if err := decodeStrict(in.Spec, spec); err != nil {
		return faults.Invalid.Wrap(err, "spec of %s cannot be decoded", next.Key())
	}
	*o = next
	return nil
}

// decodeStrict decodes b into v and refuses unknown fields.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// SameSpec reports whether both objects declare the same: kind, name and spec.
// Revision and author are not compared.
func (o *Object) SameSpec(other *Object) bool {
	if o == other {
		return true
	}
	a, b := *o, *other
	a.Revision, a.Author, b.Revision, b.Author = 0, "", 0, ""
	x, errX := a.Canonical()
	y, errY := b.Canonical()
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
