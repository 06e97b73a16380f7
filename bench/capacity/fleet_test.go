package capacity

import (
	"testing"

	"github.com/matryer/is"

	"siskingw/member"
	"siskingw/object"
	"siskingw/snapshot"
)

// Guards against a fleet with other regions, failure domains or domain sizes
// than the target fleet: the roles would then come from a different tree.
func TestRecordsMatchTargetFleet(t *testing.T) {
	is := is.New(t)
	records := makeRecords(20_000, 2100, 2, 1)
	perDomain, regions, addrs := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, r := range records {
		perDomain[r.FailureDomain]++
		regions[r.Region] = true
		addrs[r.PeerAddr] = true
	}
	is.Equal(len(perDomain), domainCount)
	is.Equal(len(regions), regionCount)
	is.Equal(len(addrs), len(records)) // addresses are unique
	for _, n := range perDomain {
		is.True(n == 2222 || n == 2223)
	}
}

// Guards against a node ID whose rank does not give the node the role that is to
// be measured.
func TestFindIDGivesRole(t *testing.T) {
	is := is.New(t)
	dir := member.NewDirectory(member.Record{ID: "first", FailureDomain: "fd", Region: "r"}, member.DirectoryOptions{})
	records := makeRecords(2000, 10, 2, 1)
	for i := range records {
		records[i].FailureDomain, records[i].Region = "fd", "r"
	}
	dir.Merge(records)
	for _, role := range []Role{Leaf, Parent, Relay, Rank0} {
		id, err := findID(role, dir.Ranked("fd"))
		is.NoErr(err)
		with := member.NewDirectory(member.Record{ID: id, FailureDomain: "fd", Region: "r", State: member.Alive}, member.DirectoryOptions{})
		with.Merge([]member.Record{*dir.Self()})
		with.Merge(records)
		children := len(member.Children(with, id))
		is.Equal(member.IsRelay(with, id), role == Relay || role == Rank0)
		is.Equal(children == 0, role == Leaf)
		is.Equal(member.Position(with, id) == 0, role == Rank0)
	}
}

// Guards against a configuration that nodes reject, and against new versions
// that equal the previous one.
func TestVersionsAreValidAndDiffer(t *testing.T) {
	is := is.New(t)
	objects := makeObjects(20)
	is.NoErr(object.Validate(objects))
	first, err := snapshot.New(1, objects)
	is.NoErr(err)
	stub := &memberStub{current: new(snapshot.Current)}
	is.NoErr(stub.current.Advance(first))
	data, err := stub.newVersion(20)
	is.NoErr(err)
	d, err := snapshot.DecodeDelta(data)
	is.NoErr(err)
	is.Equal(len(d.Upserts), 1)
	next, err := first.Apply(d)
	is.NoErr(err)
	is.Equal(next.Digest(), stub.current.Load().Digest())
}
