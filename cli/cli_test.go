package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"
	"github.com/matryer/is"

	"siskingw/admin"
	"siskingw/buildinfo"
	"siskingw/errdefs"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

// testNode is a node with an acceptor and the admin API, but without proxies and
// peers.
type testNode struct {
	t               *testing.T
	store           *memstore.Store
	current         *snapshot.Current
	server          *httptest.Server
	dropResponses   atomic.Int64 // number of further POST responses to drop
	laggingStatuses atomic.Int64 // number of further status responses that show a laggard
}

func (r *testNode) Status() admin.Status {
	d := admin.Domain{Name: "sask-1", Region: "sask", Members: 2, Confirmed: 2, InForce: r.current.Version()}
	if r.laggingStatuses.Add(-1) >= 0 {
		d.InForce, d.Confirmed, d.Laggards = d.InForce-1, 1, []string{"node-7"}
	}
	st := admin.Status{Node: "node-1", Version: r.current.Version(), Domains: []admin.Domain{d}}
	if snap := r.current.Load(); snap != nil {
		st.AddUnavailable(snap.Unavailable())
	}
	return st
}

// newTestNode starts a node, which is stopped when the test ends.
func newTestNode(t *testing.T) *testNode {
	r := &testNode{t: t, store: memstore.New(memstore.Options{}), current: new(snapshot.Current)}
	a := publish.NewAcceptor(r.store, r.current, publish.Options{
		BatchWindow: time.Millisecond,
		OnPublish:   func(next *snapshot.Snapshot, _ *snapshot.Delta) { _ = r.current.Advance(next) },
	})
	mux := http.NewServeMux()
	admin.NewServer(a, r.current, r, logr.Discard()).Register(mux)
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost && r.dropResponses.Add(-1) >= 0 {
			mux.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler) // the request took effect, but its response is lost
		}
		mux.ServeHTTP(w, req)
	}))
	r.server.Config.ErrorLog = nil
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; r.server.Close() })
	return r
}

// run executes one command line and returns its exit code and output.
func (r *testNode) run(args ...string) (int, string, string) {
	r.t.Helper()
	var out, errOut bytes.Buffer
	flags := flag.NewFlagSet("siskingw", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "siskingw")
	c.Output, c.Error = &out, &errOut
	register(c, streams{out: &out, err: &errOut, progress: true})
	address := strings.TrimPrefix(r.server.URL, "http://")
	line := append([]string{args[0], "-node", address, "-timeout", "4s"}, args[1:]...)
	if err := flags.Parse(line); err != nil {
		r.t.Fatal(err)
	}
	code := c.Execute(r.t.Context())
	return int(code), out.String(), errOut.String()
}

// writeFile writes the content to a temporary file and returns its path.
func (r *testNode) writeFile(content string) string {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "objects.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

const auctionFloor = `{"objects":[
	{"kind":"EndpointSet","name":"floor","spec":{"announce":"auction-floor"}},
	{"kind":"Service","name":"floor","spec":{"endpointSet":"floor"}}
]}`

// Guards against commands that do not work together: apply must accept the edited
// output of get, and refuse an outdated copy with exit code 4.
func TestApplyGetEditApply(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	code, out, errOut := r.run("apply", "-author", "ann", "-f", filepath.Dir(r.writeFile(auctionFloor)))
	is.Equal(errOut, "")
	is.Equal(code, errdefs.ExitOK)
	is.Equal(out, "version 1 accepted\n")
	_, out, _ = r.run("apply", "-author", "ann", "-f", r.writeFile(auctionFloor))
	is.Equal(out, "version 1 already as declared\n")

	code, read, _ := r.run("get", "-o", "json", "endpointset/floor")
	is.Equal(code, errdefs.ExitOK)
	edited := r.writeFile(strings.Replace(read, "auction-floor", "floor-two", 1))
	code, _, _ = r.run("apply", "-author", "ann", "-f", edited)
	is.Equal(code, errdefs.ExitOK)
	stale := r.writeFile(strings.Replace(read, "auction-floor", "floor-three", 1))
	code, _, errOut = r.run("apply", "-author", "bob", "-f", stale)
	is.Equal(code, errdefs.ExitConflict)
	is.True(strings.Contains(errOut, "EndpointSet/floor: based on revision 1, but ann changed it in revision 2"))
	code, _, _ = r.run("apply", "-author", "bob", "-overwrite", "-f", stale)
	is.Equal(code, errdefs.ExitOK)

	_, out, _ = r.run("history")
	is.Equal(strings.Count(out, "\n"), 4)
	is.True(strings.Contains(out, "ann     EndpointSet/floor, Service/floor "))
	is.True(strings.Contains(out, "bob     EndpointSet/floor "))
	_, out, _ = r.run("version", "-o", "json")
	var v admin.Version
	is.NoErr(json.Unmarshal([]byte(out), &v))
	is.Equal(v, admin.Version{Version: 3, Digest: r.current.Load().Digest(), Build: buildinfo.Get()})
}

// Guards against wrong exit codes and incomplete fault lists, on which scripts
// rely.
func TestExitCodesAndFaults(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	code, _, errOut := r.run("check",
		r.writeFile(`{"objects":[{"kind":"Service","name":"s","spec":{"endpointSet":"no","x":1}},{"kind":"Rout","name":"r"}]}`))
	is.Equal(code, errdefs.ExitRefused)
	is.True(strings.Contains(errOut, "Service/s: spec.x: unknown field"))
	is.True(strings.Contains(errOut, "Rout/r: kind"))
	lone := r.writeFile(`{"kind":"Service","name":"s","spec":{"endpointSet":"floor"}}`)
	for _, line := range [][]string{{"check", lone}, {"check", "-live", lone}, {"apply", "-author", "a", lone}} {
		code, _, errOut = r.run(line...)
		is.Equal(code, errdefs.ExitRefused)
		is.True(strings.Contains(errOut, "Service/s: spec.endpointSet: EndpointSet/floor does not exist"))
	}
	code, _, _ = r.run("apply", "-author", "a", "-f", r.writeFile(auctionFloor))
	is.Equal(code, errdefs.ExitOK)
	code, _, _ = r.run("check", "-live", lone)
	is.Equal(code, errdefs.ExitOK)
	code, _, errOut = r.run("delete", "-author", "a", "-o", "json", "endpointset/floor")
	is.Equal(code, errdefs.ExitRefused)
	var body admin.Error
	is.NoErr(json.Unmarshal([]byte(errOut), &body))
	is.Equal(body.Faults[0].Object, "Service/floor")
	code, _, _ = r.run("delete", "-author", "a", "service/none")
	is.Equal(code, errdefs.ExitNotFound)
	code, _, _ = r.run("get", "route/none")
	is.Equal(code, errdefs.ExitNotFound)
	code, _, _ = r.run("delete", "-author", "a", "service/floor", "endpointset/floor")
	is.Equal(code, errdefs.ExitOK)
	for _, line := range [][]string{{"get", "thing"}, {"delete", "-author", "a", "service"}, {"apply", "-author", "a"}, {"version", "-o", "xml"}} {
		code, _, _ = r.run(line...)
		is.Equal(code, errdefs.ExitUsage)
	}
}

// Guards against a change that is applied twice or reported as failed because the
// response of the node or of the store is lost.
func TestApplyRetriesWithSameOperationID(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	r.dropResponses.Store(2)
	r.store.SetFaults(memstore.Faults{LoseAnswers: 3})
	code, out, _ := r.run("apply", "-author", "ann", "-f", r.writeFile(auctionFloor))
	is.Equal(code, errdefs.ExitOK)
	is.Equal(out, "version 1 accepted\n")
	is.Equal(r.current.Version(), uint64(1))
}

// Guards against reporting an accepted change as unavailable, and against applying
// it again when the operator repeats the command with its operation id.
func TestUnknownOutcomePrintsOperationID(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	r.dropResponses.Store(1000)
	path := r.writeFile(auctionFloor)
	code, _, errOut := r.run("apply", "-timeout", "200ms", "-author", "ann", "-f", path)
	is.Equal(code, errdefs.ExitTimeout)
	_, rest, found := strings.Cut(errOut, "-operation ")
	is.True(found)
	id, _, _ := strings.Cut(rest, "\n")
	r.dropResponses.Store(0)
	code, out, _ := r.run("apply", "-author", "ann", "-operation", id, "-f", path)
	is.Equal(code, errdefs.ExitOK)
	is.Equal(out, "version 1 accepted\n")
}

// Guards against a command that does not report that the node or the store is
// unavailable.
func TestUnavailable(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	r.store.SetFaults(memstore.Faults{Down: true})
	path := r.writeFile(auctionFloor)
	apply := func() (code int, errOut string, cut bool) {
		code, _, errOut = r.run("apply", "-timeout", "200ms", "-author", "ann", "-f", path)
		return code, errOut, strings.Contains(errOut, "deadline exceeded")
	}
	code, errOut, cut := apply()
	// The outcome of a request that the timeout cuts off is unknown. Its place in the
	// pause between two requests is a matter of milliseconds.
	for range 10 {
		if !cut {
			break
		}
		is.True(code == errdefs.ExitTimeout || code == errdefs.ExitUnavailable)
		code, errOut, cut = apply()
	}
	is.Equal(code, errdefs.ExitUnavailable)
	is.True(strings.Contains(errOut, "store.unavailable"))
	is.True(strings.Contains(errOut, "trying again: "))
	code, _, _ = r.run("version", "-node", "127.0.0.1:1") // nothing listens on this reserved port
	is.Equal(code, errdefs.ExitUnavailable)
}

// Guards against -wait returning before every failure domain has confirmed the
// version, and against -wait ignoring -timeout.
func TestWait(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	r.laggingStatuses.Store(2)
	code, out, errOut := r.run("apply", "-wait", "-author", "ann", "-f", r.writeFile(auctionFloor))
	is.Equal(code, errdefs.ExitOK)
	is.True(strings.Contains(errOut, "pending, 1 of 2"))
	is.True(strings.Contains(out, "in force"))
	is.True(r.laggingStatuses.Load() < 0)
	code, out, _ = r.run("delete", "-wait", "-o", "json", "-author", "ann", "service/floor")
	is.Equal(code, errdefs.ExitOK)
	var result changeResult
	is.NoErr(json.Unmarshal([]byte(out), &result)) // one document, so that scripts can parse it
	is.True(result.Status.InForce(result.Version))
	r.laggingStatuses.Store(1000)
	code, out, errOut = r.run("status", "-wait", "-timeout", "300ms")
	is.Equal(code, errdefs.ExitTimeout)
	is.True(strings.Contains(out, "node-7"))
	is.True(strings.Contains(errOut, "version 2 is not in force everywhere"))
}

// Guards against a status that hides the routes that serve no calls.
func TestStatusShowsUnavailableRoutes(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	var objects strings.Builder
	for i := range admin.MaxUnavailable + 5 {
		fmt.Fprintf(&objects, `,{"kind":"Route","name":"r%03d\n","spec":{"pathPrefix":"/p%d/","unavailable":"closed"}}`, i, i)
	}
	code, _, errOut := r.run("apply", "-author", "ann", "-f", r.writeFile(strings.Replace(auctionFloor, `]}`, objects.String()+`]}`, 1)))
	is.Equal(code, errdefs.ExitOK)
	is.Equal(errOut, "")
	_, out, _ := r.run("status")
	is.True(strings.Contains(out, `route "r000\n" is unavailable in version 1: closed`))
	is.True(strings.Contains(out, "and 5 more routes"))
}

// Guards against an unknown field hiding the other faults of the objects, and
// against a line break in a name injecting a line into the output.
func TestCheckListsEveryFaultInOneRun(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	path := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(path, []byte(`{"objects":[
		{"kind":"EndpointSet","name":"carts","spec":{"announce":"carts","typo":1}},
		{"kind":"Service","name":"a/../b\nc","spec":{"endpointSet":"other"}},
		{"kind":"Service","name":"twice","spec":{"endpointSet":"carts"}},
		{"kind":"Service","name":"twice","spec":{"endpointSet":"carts"}},
		{"kind":"Service","name":"lost","spec":{"endpointSet":"nowhere","policy":"nothing"}}]}`), 0o600))
	code, _, errOut := r.run("check", "-f", path)
	is.Equal(code, errdefs.ExitRefused)
	for _, want := range []string{"typo", "declared more than once", "nowhere", "nothing", "other", `\nc`} {
		is.True(strings.Contains(errOut, want))
	}
	for line := range strings.Lines(errOut) {
		is.True(strings.HasPrefix(line, "siskingw check: ") || strings.HasPrefix(line, "  "))
	}
}

// Guards against explain reading only one of several files, and against exit code 0
// for a call that no log names.
func TestExplainReadsLogFiles(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	is.NoErr(os.WriteFile(a, []byte(`{"time":"2026-01-02T10:00:02Z","msg":"call ended","node":"n1","call":"c1","route":"r","status":503,"outcome":"not-run","cause":"late"}`), 0o600))
	is.NoErr(os.WriteFile(b, []byte(`{"time":"2026-01-02T10:00:01Z","msg":"call refused at its target","node":"n2","call":"c1","inFlight":9}`), 0o600))
	code, out, _ := r.run("explain", "-call", "c1", a, b)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "n2") && strings.Contains(out, "would have missed its target latency"))
	code, out, _ = r.run("explain", "-o", "json", "-from", "2026-01-02T10:00:02Z", a, b)
	is.Equal(code, 0)
	is.True(strings.Contains(out, `"late"`))
	code, _, _ = r.run("explain", "-call", "c2", a, b)
	is.Equal(code, errdefs.ExitNotFound)
	code, _, _ = r.run("explain", "-from", "noon", a)
	is.Equal(code, errdefs.ExitUsage)
}

// Guards against faults in settings and configurations that are found only when a
// node loads them.
func TestCheckReadsSettingsAndConfigurations(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(bad, []byte(`{"version":"0000000c","routes":7}`), 0o600))
	code, _, _ := r.run("check", "-settings", "../docs/examples/node.json")
	is.Equal(code, 0)
	code, _, errOut := r.run("check", "-settings", bad)
	is.Equal(code, errdefs.ExitRefused)
	is.True(strings.Contains(errOut, "bad.json"))
	code, _, _ = r.run("check", "-platform", bad)
	is.Equal(code, errdefs.ExitRefused)
	is.NoErr(os.WriteFile(bad, []byte(`{"version":"0000000c","routes":{"columns":["name","host","prefix","kind"],
		"rows":[["lots","a.example","/lots/","stream"]]}}`), 0o600))
	code, _, errOut = r.run("check", "-platform", bad)
	is.Equal(code, errdefs.ExitRefused)
	is.True(strings.Contains(errOut, "Route/lots"))
	code, _, _ = r.run("check", "-platform", bad, "-f", bad)
	is.Equal(code, errdefs.ExitUsage)
}
