package object

import (
	"bytes"
	"encoding/json"

	"siskingw/errdefs"
)

// header holds the fields that precede the spec of every object. The name of the
// type is visible to operators: encoding/json puts it into the field path of a
// value of the wrong type.
type header struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Author   string `json:"author,omitempty"`
}

// encoded is the JSON form of an object for encoding.
type encoded struct {
	header
	Spec any `json:"spec"`
}

// decoded is the JSON form of an object whose spec is not decoded yet. The name of
// the type is visible to operators in faults, like that of header.
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
	case o.Kind == KindListener && o.Listener != nil:
		return o.Listener
	case o.Kind == KindOrganisation && o.Organisation != nil:
		return o.Organisation
	}
	return nil
}

// newSpec sets an empty spec for the kind and returns a pointer to it. It returns
// nil for an unknown kind.
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
	case KindListener:
		o.Listener = new(ListenerSpec)
	case KindOrganisation:
		o.Organisation = new(OrganisationSpec)
	}
	return o.Spec()
}

// Canonical returns the canonical JSON encoding, which has a fixed field order and
// no white space. It returns an Internal error for an object without a spec.
func (o *Object) Canonical() ([]byte, error) {
	spec := o.Spec()
	if spec == nil {
		return nil, errdefs.Internal.New("object %s has no spec", o.Key())
	}
	b, err := json.Marshal(encoded{header{o.Kind, o.Name, o.Revision, o.Author}, spec})
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "object %s cannot be encoded", o.Key())
	}
	return b, nil
}

// MarshalJSON returns the canonical encoding.
func (o *Object) MarshalJSON() ([]byte, error) { return o.Canonical() }

// UnmarshalJSON decodes one object. It returns an Invalid error with the first
// fault, such as an unknown kind, an unknown field or a missing spec. DecodeFile
// reports all faults.
func (o *Object) UnmarshalJSON(b []byte) error {
	var next Object
	var err error
	switch next.Kind = kindOf(b); next.Kind {
	case KindService:
		next.Service, err = decodeAs[ServiceSpec](b, &next)
	case KindRoute:
		next.Route, err = decodeAs[RouteSpec](b, &next)
	case KindEndpointSet:
		next.EndpointSet, err = decodeAs[EndpointSetSpec](b, &next)
	case KindPolicy:
		next.Policy, err = decodeAs[PolicySpec](b, &next)
	case KindListener:
		next.Listener, err = decodeAs[ListenerSpec](b, &next)
	case KindOrganisation:
		next.Organisation, err = decodeAs[OrganisationSpec](b, &next)
	default:
		return errdefs.Invalid.New("object has no known kind")
	}
	if err != nil {
		return err
	}
	*o = next
	return nil
}

// kindOf returns the kind of an encoded object. The canonical form begins
// with the kind; other forms have to be decoded to find it.
func kindOf(b []byte) Kind {
	if rest, ok := bytes.CutPrefix(b, []byte(`{"kind":"`)); ok {
		if kind, _, ok := bytes.Cut(rest, []byte(`"`)); ok {
			return Kind(kind)
		}
	}
	var h header
	if json.Unmarshal(b, &h) != nil {
		return ""
	}
	return h.Kind
}

// decodeAs decodes an object whose spec has type T. It sets the name, revision and
// author of o and returns the spec. It decodes everything in one pass,
// because a separate pass for the spec took a third more allocations.
func decodeAs[T any](b []byte, o *Object) (*T, error) {
	var in struct {
		header
		Spec *T `json:"spec"`
	}
	if err := decodeStrict(b, &in); err != nil {
		return nil, errdefs.Invalid.Wrap(err, "%s cannot be decoded", o.Kind)
	}
	if in.Kind != o.Kind {
		return nil, errdefs.Invalid.New("object has two kinds, %q and %q", o.Kind, in.Kind)
	}
	o.Name, o.Revision, o.Author = in.Name, in.Revision, in.Author
	if in.Spec == nil {
		return nil, errdefs.Invalid.New("object %s has no spec", o.Key())
	}
	return in.Spec, nil
}

// decodeStrict decodes b into v and returns an error for unknown fields.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// SameSpec reports whether both objects have the same kind, name and spec.
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
