package object

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against organisations that cannot be told apart or called, and against a route
// that leads calls without a key to one that needs it.
func TestValidateOrganisations(t *testing.T) {
	is := is.New(t)
	organisation := func(name string, spec OrganisationSpec) *Object {
		return &Object{Kind: KindOrganisation, Name: name, Organisation: &spec}
	}
	route := func(name, fallback string, requireKey bool) *Object {
		return &Object{Kind: KindRoute, Name: name, Route: &RouteSpec{
			PathPrefix: "/" + name, Service: "s", Fallback: fallback, RequireKey: requireKey}}
	}
	base := []*Object{
		{Kind: KindEndpointSet, Name: "s", EndpointSet: &EndpointSetSpec{Announce: "s"}},
		{Kind: KindService, Name: "s", Service: &ServiceSpec{EndpointSet: "s"}},
	}
	faults := func(set ...*Object) string {
		var got []string
		for _, f := range FaultsOf(Validate(append(base, set...))) {
			got = append(got, f.Object+" "+f.Field)
		}
		return strings.Join(got, ", ")
	}
	key, priority := KeyDigest("secret"), -1
	// An organisation without keys is valid: it has lost its access.
	is.Equal(faults(organisation("a", OrganisationSpec{RatePerS: 5, Burst: 5}), organisation("b", OrganisationSpec{KeyDigests: []string{key}}),
		route("r", "", true)), "")
	is.Equal(faults(organisation("a", OrganisationSpec{KeyDigests: []string{key}}), organisation("b", OrganisationSpec{KeyDigests: []string{key}})),
		"Organisation/b spec.keyDigests[0]")
	is.Equal(faults(organisation("", OrganisationSpec{})), "Organisation/ name")
	is.Equal(faults(organisation("a", OrganisationSpec{KeyDigests: []string{key, key, "secret"}, Priority: &priority, RatePerS: -1, Burst: 1e300})),
		"Organisation/a spec.burst, Organisation/a spec.keyDigests[1], Organisation/a spec.keyDigests[2], Organisation/a spec.priority, Organisation/a spec.ratePerS")
	is.Equal(faults(organisation("a", OrganisationSpec{Burst: 1})), "Organisation/a spec.burst")
	is.Equal(faults(route("r", "", true)), "Route/r spec.requireKey")
	is.Equal(faults(organisation("a", OrganisationSpec{}), route("r", "", true), route("open", "r", false)), "Route/open spec.fallback")
	err := Validate(append(base, organisation("a", OrganisationSpec{KeyDigests: []string{"secret"}})))
	is.True(!strings.Contains(err.Error(), "secret")) // a key given in place of its digest is not shown
}

// Guards against organisations that the get command prints and the apply command cannot
// read.
func TestOrganisationRoundTrips(t *testing.T) {
	is := is.New(t)
	const file = `{"kind":"Organisation","name":"a","spec":{"keyDigests":["00"],"priority":0,"ratePerS":2.5,"burst":5}}`
	set, err := DecodeFile("", []byte(file))
	is.NoErr(err)
	b, err := set[0].Canonical()
	is.NoErr(err)
	is.Equal(string(b), file)
	var back Object
	is.NoErr(back.UnmarshalJSON(b))
	is.True(back.SameSpec(set[0]))
}
