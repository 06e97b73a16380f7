package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
)

const valid = `{"id":"sask-a-1","region":"sask","failureDomain":"sask-a",
 "listen":{"outbound":"127.0.0.1:1","inbound":"127.0.0.1:2","peer":"127.0.0.1:3","admin":"127.0.0.1:4"},
 "target":{"service":"auction-floor","address":"127.0.0.1:5","slots":9},
 "store":{"endpoint":"127.0.0.1:6"}}`

func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(valid))
	is.NoErr(err)
	is.Equal(s.Advertise.Peer, "127.0.0.1:3")
	is.Equal(s.Store.Region, "sask")
	is.Equal(s.Target.QueueLength, 36)
}

// Guards against a check that reports only the first fault: an operator would
// have to start the node once for each fault.
func TestParseListsEveryFault(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer(`"sask-a-1"`, `"Bad_ID"`, `127.0.0.1:2"`, `127.0.0.1:1"`,
		`"slots":9`, `"slots":0`, `127.0.0.1:6`, `0.0.0.0:6`).Replace(valid)
	_, err := Parse([]byte(bad))
	is.True(errorx.IsOfType(err, errdefs.Invalid))
	for _, want := range []string{"id:", "listen.inbound:", "target.slots:", "store.endpoint:"} {
		is.True(strings.Contains(err.Error(), want)) // each fault is listed
	}
	_, err = Parse([]byte(`{"idd":"x"}`))
	is.True(errorx.IsOfType(err, errdefs.Invalid)) // unknown fields are refused
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err == nil && (s.ID == "" || s.FailureDomain == "") {
			t.Fatalf("settings without id or failure domain are accepted: %q", b)
		}
	})
}

// Guards against settings files that a tool of this build writes and a node of an
// earlier build refuses, for sections that the file does not need.
func TestUnusedSectionsAreNotWritten(t *testing.T) {
	is := is.New(t)
	b, err := json.Marshal(Settings{ID: "a"})
	is.NoErr(err)
	for _, section := range []string{`"limits"`, `"balance"`, `"platform"`, `"target"`} {
		is.True(!strings.Contains(string(b), section))
	}
}
