package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/platform/standin"
)

// Guards against a version that the operator's store has accepted and that nodes
// refuse for the form of a name: calls would go on to the routes of the version before.
func TestVersionWithUnusualNamesIsInForce(t *testing.T) {
	for _, names := range []struct{ route, service string }{
		{"lot_photos", "auction_floor"},
		{"Lots; Photos/2026", "Auction;Floor"},
		{"größe\n\"%2F\"", "größe 100%"},
		{strings.Repeat("long", 5000), strings.Repeat("s", 300)},
	} {
		t.Run(fmt.Sprintf("%.20s", names.route), func(t *testing.T) {
			is := is.New(t)
			s := newTestPlatform(t)
			first, second := s.start(1), s.start(2)
			s.publish(1)
			eventually(t, "readiness", func() bool { return first.ready() == http.StatusOK && second.ready() == http.StatusOK })
			second.startTargetAs(standin.TargetOptions{Slots: 4, Work: time.Millisecond, Beat: 200 * time.Millisecond,
				Service: names.service})
			_, err := s.mem.Put(t.Context(), standin.ConfigKey, standin.ConfigWithRoute(2, testHost, names.service,
				names.route, "/photos/"), 0)
			is.NoErr(err)
			eventually(t, "an answer on the new route", func() bool {
				status, _, _ := first.call("GET", "/photos/1", "a1")
				return status == http.StatusOK
			})
			status, _, _ := first.call("POST", "/bids/1", "a2")
			is.Equal(status, http.StatusOK) // the version moved the route to the target's service
		})
	}
}
