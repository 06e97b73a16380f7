package e2e

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/bench/fleet"
	"siskingw/targetstub"
	"siskingw/telemetry"
)

// setBehavior changes the behavior of a target; behavior is JSON.
func setBehavior(t *testing.T, in *fleet.Instance, behavior string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPatch, in.TargetURL()+targetstub.PathBehavior, strings.NewReader(behavior))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// slowCall starts a call through another node and returns after the target has
// begun it. The target works on it for 3.5 s, longer than the announcement of the
// drain takes.
func slowCall(t *testing.T, c *cluster, target *fleet.Instance, id string) <-chan response {
	t.Helper()
	for _, in := range c.fleet.Instances {
		if in != target {
			setBehavior(t, in, `{"draining":true}`)
			in.Target.Kill() // so that every call goes to the target under test
		}
	}
	setBehavior(t, target, `{"workMs":3500}`)
	caller := c.fleet.Instances[0]
	if caller == target {
		caller = c.fleet.Instances[1]
	}
	got := make(chan response, 1)
	go func() { got <- call(caller, "POST", "/scans/1", id, "", []byte("scan")) }()
	for deadline := time.Now().Add(convergeTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		sum := make(map[string]targetstub.Entry)
		if addLedger(target, sum) == nil && sum[id].Started > 0 {
			return got
		}
	}
	t.Fatal("the call did not reach the target")
	return nil
}

// waitForStop returns when the node has handled its termination signal, which on a busy
// machine takes a while. It fails the test after the time in which a target that leaves
// must get no new work.
func waitForStop(t *testing.T, c *cluster, in *fleet.Instance) {
	t.Helper()
	const bound = 2 * time.Second
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		log, err := os.ReadFile(filepath.Join(c.dir, in.Name+".log"))
		if err == nil && bytes.Contains(log, []byte(`"msg":"`+telemetry.EventStopping+`"`)) {
			return
		}
	}
	t.Fatalf("%s does not stop within %s", in.Name, bound)
}

// Guards against a graceful stop that cuts off an upload in flight (I8), accepts
// new requests while it drains (I7), or does not end.
func TestGracefulStopFinishesCallsInFlight(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1, false)
	target := c.fleet.Instances[2]
	got := slowCall(t, c, target, "in-flight")
	target.Node.Terminate()
	waitForStop(t, c, target)
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(got), 0) // still in flight
	late := call(c.fleet.Instances[0], "POST", "/scans/1", "late", "", []byte("scan"))
	is.Equal(late.status, http.StatusServiceUnavailable)
	is.Equal(late.outcome, "not-run")
	is.Equal((<-got).status, http.StatusOK)
	is.True(target.Node.WaitOrKill(convergeTimeout)) // exits by itself with code 0
	sum := make(map[string]targetstub.Entry)
	is.NoErr(addLedger(target, sum))
	is.Equal(sum["late"].Started, 0)
	is.Equal(sum["in-flight"].Finished, 1)
}

// Guards against a second termination signal that does not end the stop at once,
// and against a call that is reported as not run although it was cut off while it
// ran.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1, false)
	target := c.fleet.Instances[2]
	got := slowCall(t, c, target, "cut-off")
	target.Node.Terminate()
	time.Sleep(100 * time.Millisecond)
	started := time.Now()
	target.Node.Terminate()
	target.Node.WaitOrKill(convergeTimeout)
	is.True(time.Since(started) < time.Second)
	a := <-got
	is.True(a.status != http.StatusOK && a.outcome != "not-run") // it ran or may have run
}
