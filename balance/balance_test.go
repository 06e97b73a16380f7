package balance

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/faults"
	"siskingw/member"
)

// Guards against paid traffic to other regions while the own failure domain has
// free slots, and against calls to draining members.
func TestPickPrefersOwnFailureDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, Options{})
	f.view.state("sask-1-0", member.Draining)
	for range 100 {
		p, err := f.b.Pick(set, nil, nil)
		is.NoErr(err)
		is.Equal(p.Record.ID, "sask-1-1")
		p.Done(Report{})
	}
}

// Guards against a call without any endpoint that is not reported as not run.
func TestPickWithoutEndpointIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, Options{})
	_, err := f.b.Pick(set, nil, nil)
	is.True(errorx.IsOfType(err, faults.NotRun))
}
