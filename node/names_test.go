package node

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admin"
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
			eventually(t, "an answer on a route that the version moved to the target's service", func() bool {
				status, _, _ := first.call("POST", "/bids/1", "a2")
				return status == http.StatusOK
			})
		})
	}
}

// Guards against a version that is not in force because one of its routes cannot be, and
// against an operator who cannot see which: status shows it at each node, also where
// another node has read the version from the store.
func TestVersionWithFaultyRouteIsInForce(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	first, second := s.start(1), s.start(2)
	s.publish(1)
	eventually(t, "readiness", func() bool { return first.ready() == http.StatusOK && second.ready() == http.StatusOK })
	second.startTarget(time.Millisecond)
	config := standin.WithRouteToNowhere(standin.Config(2, testHost, testService), testHost, "photos", "/lots/photos/")
	_, err := s.mem.Put(t.Context(), standin.ConfigKey, config, 0)
	is.NoErr(err)
	eventually(t, "the second version on both nodes", func() bool {
		return first.node.current.Version() == 2 && second.node.current.Version() == 2
	})
	eventually(t, "an answer on another route", func() bool {
		status, _, _ := first.call("GET", "/lots/1", "a1")
		return status == http.StatusOK
	})
	status, _, _ := first.call("GET", "/lots/photos/1", "a2")
	is.Equal(status, http.StatusServiceUnavailable)
	for _, in := range []*instance{first, second} {
		c := admin.NewClient(fmt.Sprintf("%s:%d", in.ip, s.ports[3]))
		defer c.Close()
		st, err := c.Status(t.Context())
		is.NoErr(err)
		is.Equal(st.Unavailable, []admin.UnavailableRoute{
			{Route: "photos", Reason: "spec.service: Service/nowhere does not exist"}})
	}
	eventually(t, "a log line of the node that read the version", func() bool {
		return strings.Contains(first.log.String()+second.log.String(), "configuration has faults")
	})
}

// Guards against nodes that do not start, do not find each other or do not serve because
// of the name of their region or failure domain.
func TestPlacesOfAnyName(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.region, s.idPrefix = "Red_Bluff; größe/1 ", "Node_größe/; "
	first, second := s.start(1), s.start(2)
	s.publish(1)
	eventually(t, "readiness", func() bool { return first.ready() == http.StatusOK && second.ready() == http.StatusOK })
	second.startTarget(time.Millisecond)
	eventually(t, "an answer through the other node", func() bool {
		status, _, _ := first.call("POST", "/bids/1", "a1")
		return status == http.StatusOK
	})
	c := admin.NewClient(fmt.Sprintf("%s:%d", first.ip, s.ports[3]))
	defer c.Close()
	eventually(t, "version 1 in force in both failure domains", func() bool {
		st, err := c.Status(t.Context())
		is.NoErr(err)
		return len(st.Domains) == 2 && st.InForce(1)
	})
}

// Guards against a header within the operator's limit that a node takes from its caller and
// the target's node refuses, because the limit between nodes is lower.
func TestHeaderWithinTheLimitReachesTheTarget(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	first, second := s.start(1), s.start(2)
	const headerBytes = 512 << 10
	config := bytes.Replace(standin.Config(1, testHost, testService), []byte(`"header_bytes":16384`),
		fmt.Appendf(nil, `"header_bytes":%d`, headerBytes), 1)
	_, err := s.mem.Put(t.Context(), standin.ConfigKey, config, 0)
	is.NoErr(err)
	second.startTarget(time.Millisecond)
	eventually(t, "an answer", func() bool {
		status, _, _ := first.call("POST", "/bids/1", "a1")
		return status == http.StatusOK
	})
	for i, size := range []int{10 << 10, 63 << 10, 64 << 10, 100 << 10, headerBytes - 1<<10} {
		eventually(t, "an answer to a long header", func() bool {
			status, _, _ := first.callWith("POST", "/bids/1", fmt.Sprint("b", i), "X-Long", strings.Repeat("x", size))
			is.True(status != http.StatusRequestHeaderFieldsTooLarge)
			return status == http.StatusOK
		})
	}
	status, _, _ := first.callWith("POST", "/bids/1", "c", "X-Long", strings.Repeat("x", headerBytes+1))
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
}
