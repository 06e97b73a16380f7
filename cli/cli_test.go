package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
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
	"siskingw/errdefs"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

// rig is a node with an acceptor, without proxies and peers.
type rig struct {
	t       *testing.T
	mem     *memstore.Store
	cur     *snapshot.Current
	server  *httptest.Server
	lose    atomic.Int64 // answers of the node that are still to be lost
	lagging atomic.Int64 // status answers that still show a laggard
}

func (r *rig) Status() admin.Status {
	d := admin.Domain{Name: "sask-1", Region: "sask", Members: 2, Confirmed: 2, InForce: r.cur.Version()}
	if r.lagging.Add(-1) >= 0 {
		d.InForce, d.Confirmed, d.Laggards = d.InForce-1, 1, []string{"node-7"}
	}
	return admin.Status{Node: "node-1", Version: r.cur.Version(), Domains: []admin.Domain{d}}
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, mem: memstore.New(memstore.Options{}), cur: new(snapshot.Current)}
	a := publish.NewAcceptor(r.mem, r.cur, publish.Options{
		BatchWindow: time.Millisecond,
		OnAccept:    func(next *snapshot.Snapshot, _ *snapshot.Delta) { _ = r.cur.Advance(next) },
	})
	mux := http.NewServeMux()
	admin.NewServer(a, r.cur, r, logr.Discard()).Register(mux)
	r.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost && r.lose.Add(-1) >= 0 {
			mux.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler) // the request took effect, its answer is lost
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
func (r *rig) run(args ...string) (int, string, string) {
	r.t.Helper()
	var out, errOut bytes.Buffer
	top := flag.NewFlagSet("siskingw", flag.ContinueOnError)
	c := subcommands.NewCommander(top, "siskingw")
	c.Output, c.Error = &out, &errOut
	register(c, streams{out: &out, err: &errOut, progress: true})
	address := strings.TrimPrefix(r.server.URL, "http://")
	line := append([]string{args[0], "-node", address, "-timeout", "4s"}, args[1:]...)
	if err := top.Parse(line); err != nil {
		r.t.Fatal(err)
	}
	code := c.Execute(r.t.Context())
	return int(code), out.String(), errOut.String()
}

func (r *rig) file(content string) string {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "objects.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

const floor = `{"objects":[
	{"kind":"EndpointSet","name":"floor","spec":{"announce":"auction-floor"}},
	{"kind":"Service","name":"floor","spec":{"endpointSet":"floor"}}
]}`

// Guards against commands that do not work together: what apply accepts, get
// writes, and apply takes that back; a stale copy is refused with code 4.
func TestApplyGetEditApply(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	code, out, errOut := r.run("apply", "-author", "ann", "-f", filepath.Dir(r.file(floor)))
	is.Equal(errOut, "")
	is.Equal(code, errdefs.ExitOK)
	is.Equal(out, "version 1 accepted\n")
	_, out, _ = r.run("apply", "-author", "ann", "-f", r.file(floor))
	is.Equal(out, "version 1 already as declared\n")

	code, read, _ := r.run("get", "-o", "json", "endpointset/floor")
	is.Equal(code, errdefs.ExitOK)
	edited := r.file(strings.Replace(read, "auction-floor", "floor-two", 1))
	code, _, _ = r.run("apply", "-author", "ann", "-f", edited)
	is.Equal(code, errdefs.ExitOK)
	stale := r.file(strings.Replace(read, "auction-floor", "floor-three", 1))
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
	is.Equal(v, admin.Version{Version: 3, Digest: r.cur.Load().Digest()})
}

// Guards against exit codes and fault lists that scripts cannot rely on.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	code, _, errOut := r.run("check", r.file(`{"objects":[{"kind":"Service","name":"s","spec":{"endpointSet":"no","x":1}},{"kind":"Rout","name":"r"}]}`))
	is.Equal(code, errdefs.ExitRefused)
	is.True(strings.Contains(errOut, "Service/s: spec.x: unknown field"))
	is.True(strings.Contains(errOut, "Rout/r: kind"))
	lone := r.file(`{"kind":"Service","name":"s","spec":{"endpointSet":"floor"}}`)
	for _, line := range [][]string{{"check", lone}, {"check", "-live", lone}, {"apply", "-author", "a", lone}} {
		code, _, errOut = r.run(line...)
		is.Equal(code, errdefs.ExitRefused)
		is.True(strings.Contains(errOut, "Service/s: spec.endpointSet: EndpointSet/floor does not exist"))
	}
	code, _, _ = r.run("apply", "-author", "a", "-f", r.file(floor))
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

// Guards against a change that is applied twice, or reported as failed,
// because the answer of the node or of the store was lost.
func TestApplyRepeatsWithTheSameOperation(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.lose.Store(2)
	r.mem.SetFaults(memstore.Faults{LoseAnswers: 3})
	code, out, _ := r.run("apply", "-author", "ann", "-f", r.file(floor))
	is.Equal(code, errdefs.ExitOK)
	is.Equal(out, "version 1 accepted\n")
	is.Equal(r.cur.Version(), uint64(1))
}

// Guards against "unavailable" for a change that was accepted, and against a
// manual repeat that applies it again.
func TestUnknownOutcomeNamesTheOperation(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.lose.Store(1000)
	path := r.file(floor)
	code, _, errOut := r.run("apply", "-timeout", "200ms", "-author", "ann", "-f", path)
	is.Equal(code, errdefs.ExitTimeout)
	_, rest, found := strings.Cut(errOut, "-operation ")
	is.True(found)
	id, _, _ := strings.Cut(rest, "\n")
	r.lose.Store(0)
	code, out, _ := r.run("apply", "-author", "ann", "-operation", id, "-f", path)
	is.Equal(code, errdefs.ExitOK)
	is.Equal(out, "version 1 accepted\n")
}

// Guards against a command that hides that no node or no store answers.
func TestUnavailable(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.mem.SetFaults(memstore.Faults{Down: true})
	code, _, errOut := r.run("apply", "-timeout", "200ms", "-author", "ann", "-f", r.file(floor))
	is.Equal(code, errdefs.ExitUnavailable)
	is.True(strings.Contains(errOut, "store.unavailable"))
	is.True(strings.Contains(errOut, "trying again: "))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	code, _, _ = r.run("version", "-node", l.Addr().String())
	is.Equal(code, errdefs.ExitUnavailable)
}

// Guards against -wait that returns before every failure domain has confirmed,
// and against a wait without end.
func TestWait(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.lagging.Store(2)
	code, out, errOut := r.run("apply", "-wait", "-author", "ann", "-f", r.file(floor))
	is.Equal(code, errdefs.ExitOK)
	is.True(strings.Contains(errOut, "pending, 1 of 2"))
	is.True(strings.Contains(out, "in force"))
	is.True(r.lagging.Load() < 0)
	code, out, _ = r.run("delete", "-wait", "-o", "json", "-author", "ann", "service/floor")
	is.Equal(code, errdefs.ExitOK)
	var result changeResult
	is.NoErr(json.Unmarshal([]byte(out), &result)) // one document, so that scripts can parse it
	is.True(result.Status.InForce(result.Version))
	r.lagging.Store(1000)
	code, out, errOut = r.run("status", "-wait", "-timeout", "300ms")
	is.Equal(code, errdefs.ExitTimeout)
	is.True(strings.Contains(out, "node-7"))
	is.True(strings.Contains(errOut, "version 2 is not in force everywhere"))
}

// Guards against a check that hides the other faults of a set behind a field
// that decoding does not know, and against a name whose line break forges a line
// of the output.
func TestCheckListsEveryFaultInOneRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	path := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(path, []byte(`{"objects":[
		{"kind":"EndpointSet","name":"carts","spec":{"announce":"carts","typo":1}},
		{"kind":"Service","name":"a/../b\nc","spec":{"endpointSet":"carts"}},
		{"kind":"Service","name":"twice","spec":{"endpointSet":"carts"}},
		{"kind":"Service","name":"twice","spec":{"endpointSet":"carts"}},
		{"kind":"Service","name":"lost","spec":{"endpointSet":"nowhere","policy":"nothing"}}]}`), 0o600))
	code, _, errOut := r.run("check", "-f", path)
	is.Equal(code, errdefs.ExitRefused)
	for _, want := range []string{"typo", "declared more than once", "nowhere", "nothing", `\nc`} {
		is.True(strings.Contains(errOut, want))
	}
	for line := range strings.Lines(errOut) {
		is.True(strings.HasPrefix(line, "siskingw check: ") || strings.HasPrefix(line, "  "))
	}
}

// Guards against explain that does not read several files, and against one that
// reports success for a call that no log names.
func TestExplainReadsLogFiles(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
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

// Guards against settings and configurations whose faults show only when a node
// takes them.
func TestCheckReadsSettingsAndConfigurations(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(bad, []byte(`{"version":"0000000c","routes":7}`), 0o600))
	code, _, _ := r.run("check", "-settings", "../docs/examples/node.json")
	is.Equal(code, 0)
	code, _, errOut := r.run("check", "-settings", bad)
	is.Equal(code, errdefs.ExitRefused)
	is.True(strings.Contains(errOut, "bad.json"))
	code, _, _ = r.run("check", "-platform", bad)
	is.Equal(code, errdefs.ExitRefused)
	code, _, _ = r.run("check", "-platform", bad, "-f", bad)
	is.Equal(code, errdefs.ExitUsage)
}
