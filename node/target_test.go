package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/telemetry"
)

// Guards against an odd announcement, written by another program, that ends the
// node, takes the place of its target, or stops it from following the target.
func TestOddAnnouncementsLeaveTargetInUse(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.publish(1)
	in := s.start(1)
	eventually(t, "readiness", func() bool { return in.ready() == 200 })
	in.startTarget(time.Millisecond)
	eventually(t, "an answer", func() bool { status, _, _ := in.call("GET", "/lots/1", "a"); return status == 200 })
	const odd = `{"service":"floor","address":"127.0.0.1:9","capacity":4,"state":"ready","warmup_left_ms":0,"seq":1,"born":%d}`
	now := time.Now()
	valid := fmt.Sprintf(odd, now.Add(time.Second).UnixMilli())
	for _, body := range []string{
		strings.Replace(valid, `:4,`, `:9223372036854775807,`, 1),
		strings.Replace(valid, `:4,`, `:4294967296,`, 1),
		strings.Replace(valid, `:0,`, `:1e300,`, 1),
		strings.Replace(valid, `"seq":1`, `"seq":18446744073709551615`, 1),
		strings.Replace(valid, `127.0.0.1:9`, `127.0.0.1:70000`, 1),
		strings.Replace(valid, `127.0.0.1:9`, `127.0.0.1:0`, 1),
		strings.Replace(valid, `"floor"`, `"unknown"`, 1),
		strings.Replace(valid, `"floor"`, strings.Repeat("[", 12_000)+strings.Repeat("]", 12_000), 1),
		fmt.Sprintf(odd, now.Add(1000*time.Hour).UnixMilli()),
	} {
		for _, id := range []string{"i-" + in.ip, "i-other"} {
			req, err := http.NewRequest("PUT", fmt.Sprintf("http://%s:%d/endpoints/%s", in.ip, s.ports[4], id), strings.NewReader(body))
			is.NoErr(err)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusBadRequest)
		}
	}
	before := len(in.target.Runs())
	// Longer than the expiry of a target whose announcements are ignored.
	for end := time.Now().Add((maxMissedHeartbeats + 2) * 200 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, _, _ := in.call("GET", "/lots/1", "b"+strconv.FormatInt(time.Now().UnixNano(), 10))
		is.Equal(status, 200)
	}
	is.True(len(in.target.Runs()) > before)
	is.True(strings.Contains(in.log.String(), telemetry.EventTargetInvalid))
}

// Guards against running work that is started again on another target, or given
// up, because the target that runs it is silent for longer than its announcements
// may be late.
func TestSilentTargetKeepsItsRunningCall(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.publish(1)
	first, second := s.start(1), s.start(2)
	eventually(t, "readiness", func() bool { return first.ready() == 200 && second.ready() == 200 })
	second.startTarget(time.Millisecond)
	first.startTargetWithBeat(1200*time.Millisecond, time.Hour) // announces itself once
	eventually(t, "the target", func() bool { return first.node.target.currentBackend() != nil })
	type answer struct {
		id     string
		status int
	}
	answers := make(chan answer)
	const calls = 4 // as many as the target has slots
	for i := range calls {
		go func() {
			id := fmt.Sprint("c", i)
			status, _, _ := first.call("POST", "/bids/1", id)
			answers <- answer{id, status}
		}()
	}
	eventually(t, "a call in flight", func() bool { return len(first.target.Runs()) > 0 })
	for range calls {
		a := <-answers
		is.Equal(a.status, 200)
		is.Equal(first.target.Runs()[a.id]+second.target.Runs()[a.id], 1)
	}
	is.True(strings.Contains(first.log.String(), "silent")) // the target expired while its calls ran
}

// Guards against a restarted node that uses a target whose departure its previous
// process acknowledged: the target still runs and passes its health check.
func TestRestartedNodeDoesNotUseDepartedTarget(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.publish(1)
	first, second := s.start(1), s.start(2)
	eventually(t, "readiness", func() bool { return first.ready() == 200 && second.ready() == 200 })
	first.startTargetWithBeat(time.Millisecond, time.Hour) // sends nothing after its departure
	first.target.SetLyingHealth()
	eventually(t, "an answer", func() bool { status, _, _ := second.call("GET", "/lots/1", "a"); return status == 200 })
	is.NoErr(first.target.Leave(t.Context()))
	eventually(t, "the departure at the other node", func() bool {
		r := second.node.dir.Lookup("n-1")
		return r != nil && r.Service == ""
	})
	first.signal <- syscall.SIGTERM
	first.signal <- syscall.SIGTERM // cuts the graceful stop short
	<-first.done
	first = s.start(1)
	eventually(t, "readiness after the restart", func() bool { return first.ready() == 200 })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, _, _ := second.call("POST", "/bids/1", "b"+strconv.FormatInt(time.Now().UnixNano(), 10))
		is.Equal(status, 503)
	}
	is.True(first.node.target.currentBackend() == nil)
}
