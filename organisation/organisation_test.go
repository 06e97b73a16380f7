package organisation

import (
	"testing"

	"github.com/matryer/is"

	"siskingw/object"
	"siskingw/snapshot"
)

// set returns the organisations of a version that has the given ones.
func set(t *testing.T, version uint64, specs map[string]object.OrganisationSpec) *snapshot.Snapshot {
	t.Helper()
	var objects []*object.Object
	for name, spec := range specs {
		objects = append(objects, &object.Object{Kind: object.KindOrganisation, Name: name, Organisation: &spec})
	}
	s, err := snapshot.New(version, objects)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a key that finds another organisation or none, against one that is
// accepted after it was taken away, and against organisations without a limit that get
// less than those with one.
func TestOrganisationsOfAVersion(t *testing.T) {
	is := is.New(t)
	var c Cache
	with := c.Of(set(t, 1, map[string]object.OrganisationSpec{
		"ann": {KeyDigests: []string{object.KeyDigest("k1"), object.KeyDigest("k2")}, RatePerS: 40},
		"bob": {KeyDigests: []string{object.KeyDigest("k3")}},
	}))
	is.Equal(with.OfKey("k1").Name, "ann")
	is.Equal(with.OfKey("k2").Name, "ann")
	is.Equal(with.OfKey("k3").Name, "bob")
	is.True(with.OfKey("k4") == nil && with.OfKey("") == nil && with.OfKey(object.KeyDigest("k1")) == nil)
	is.True(with.Get("ann").Limited() && !with.Get("bob").Limited())
	is.Equal(with.Get("bob").Weight, 40.0)

	without := c.Of(set(t, 2, map[string]object.OrganisationSpec{"ann": {KeyDigests: []string{object.KeyDigest("k2")}, RatePerS: 40}}))
	is.True(without.OfKey("k1") == nil)
	is.Equal(without.OfKey("k2").Name, "ann")
	is.True(c.Of(set(t, 3, nil)).Empty())
}
