package node

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/platform/standin"
)

// Guards, on the platform and from an operator's change to the response to a
// call, against a node that serves without a configuration, misses a change,
// sends calls to a leaving target, or reports a call as not run although it
// ran.
func TestNodeOnPlatform(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	first, second := s.start(1), s.start(2)
	eventually(t, "an answer before the first version", func() bool { return first.ready() == http.StatusServiceUnavailable })
	status, _, _ := first.call("GET", "/lots/1", "a0")
	is.Equal(status, http.StatusServiceUnavailable)

	s.publish(1)
	eventually(t, "readiness", func() bool { return first.ready() == 200 && second.ready() == 200 })
	first.startTarget(time.Millisecond)
	eventually(t, "an answer through another node", func() bool {
		status, _, body := second.call("GET", "/lots/1", "a1")
		return status == 200 && body == "a1x"
	})
	second.startTarget(time.Millisecond)
	eventually(t, "a call at the second target", func() bool {
		second.call("POST", "/bids/1", "a2")
		return len(second.target.Runs()) > 0
	})

	s.publish(2)
	eventually(t, "the second version on both nodes", func() bool {
		return first.node.current.Version() == 2 && second.node.current.Version() == 2
	})

	first.stopTarget()
	<-first.targetStopped
	before := len(first.target.Runs())
	for i := range 20 {
		status, _, _ := first.call("POST", "/bids/1", fmt.Sprint("b", i))
		is.Equal(status, 200) // run by the second target
	}
	is.Equal(len(first.target.Runs()), before)
	for id, n := range second.target.Runs() {
		if strings.HasPrefix(id, "b") && n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}

	second.stopTarget()
	<-second.targetStopped
	eventually(t, "a refusal without any target", func() bool {
		status, header, _ := second.call("POST", "/bids/1", "c")
		return status == 503 && header.Get("Retry-After") != ""
	})
	for _, want := range []string{"target in use", "target lost", "version in force",
		"joined", "member changed", "call ended"} {
		// A node may serve with the state received from others before its join
		// completes.
		eventually(t, "the line "+want, func() bool { return strings.Contains(second.log.String(), want) })
	}
}

// Guards against a stop that interrupts calls in flight or takes longer than
// the platform's grace period, and against a stopping node that still reports
// that it is ready.
func TestNodeStopsWithinGracePeriod(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.publish(1)
	in := s.start(1)
	in.startTarget(300 * time.Millisecond)
	eventually(t, "an answer", func() bool { status, _, _ := in.call("GET", "/lots/1", "a"); return status == 200 })
	answered := make(chan int)
	go func() {
		status, _, _ := in.call("POST", "/bids/1", "b")
		answered <- status
	}()
	eventually(t, "a call in flight", func() bool { return in.target.Runs()["b"] == 1 })
	started := time.Now()
	in.signal <- syscall.SIGTERM
	eventually(t, "the end of readiness", func() bool { return in.ready() != 200 })
	is.Equal(<-answered, 200)
	is.NoErr(<-in.done)
	is.True(time.Since(started) < in.node.settings.Platform.Grace())
	is.True(strings.Contains(in.log.String(), `"msg":"stopped"`))
}

// Pattern: planned stop in calm with a short grace period, callers that keep sending.
// Guards against a stopping node that passes on calls and cuts them at the end of the
// grace period, among them calls that must not run twice. A call that runs into its
// own deadline is no such call only if the test lacked processor time meanwhile.
func TestStoppingNodeCutsNoCall(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.publish(1)
	first, second := s.start(1), s.start(2)
	eventually(t, "readiness", func() bool { return first.ready() == 200 && second.ready() == 200 })
	const work = 1250 * time.Millisecond // of the time that a call may take
	second.startTargetWith(work, 200*time.Millisecond, 64, 0)
	eventually(t, "an answer", func() bool { status, _, _ := first.call("GET", "/lots/1", "a"); return status == 200 })
	var callers sync.WaitGroup
	var complete, refused, expired atomic.Int32
	starved := watchStarvation(t)
	stopped := make(chan struct{})
	for i := range 60 {
		callers.Go(func() {
			for n := 0; ; n++ {
				id := fmt.Sprintf("b%d-%d", i, n)
				began, starvedBefore := time.Now(), starved()
				status, _, body := first.call("POST", "/bids/1", id)
				took, lacked := time.Since(began), starved()-starvedBefore
				switch runs := second.target.Runs()[id]; {
				case status == 200 && runs == 1:
					complete.Add(1)
				case runs == 0:
					refused.Add(1)
				case runs == 1 && took >= callDeadline && lacked >= (callDeadline-work)/2:
					expired.Add(1)
				default:
					t.Errorf("%s ran %d times, status %d after %s, %s without processor time: %s", id, runs, status, took, lacked, body)
				}
				select {
				case <-stopped:
					return
				case <-time.After(time.Duration(1+i) * 5 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	first.signal <- syscall.SIGTERM
	is.NoErr(<-first.done)
	close(stopped)
	callers.Wait()
	is.True(complete.Load() > 0)
	is.True(refused.Load() > 0) // calls kept coming until the node was gone
	t.Logf("%d calls complete, %d refused, %d expired", complete.Load(), refused.Load(), expired.Load())
}

// watchStarvation returns a function that returns for how long in all, since the call
// of watchStarvation, a goroutine of this process was ready and did not run.
func watchStarvation(t *testing.T) func() time.Duration {
	const interval, timerSlack = 10 * time.Millisecond, 2 * time.Millisecond
	var mu sync.Mutex
	var total time.Duration
	wakeAt := time.Now()
	late := func() time.Duration { // mu is held
		if d := time.Since(wakeAt); d > timerSlack {
			return d
		}
		return 0
	}
	go func() {
		for t.Context().Err() == nil {
			mu.Lock()
			total += late()
			wakeAt = time.Now().Add(interval)
			mu.Unlock()
			time.Sleep(interval)
		}
	}()
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return total + late()
	}
}

// Guards against a stop whose steps are out of order or outlast the grace period.
func TestStopSchedule(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		s := newStopSchedule(grace)
		is.True(0 < s.linger && s.linger < s.refuse && s.refuse < s.abort && s.abort < s.end && s.end < grace)
		is.True(s.abort >= grace*5/6) // a call in flight gets five sixths of the grace period at least
		is.True(s.refuse <= 3*time.Second)
	}
}

// Guards against a reload that requires a restart, is not logged, or replaces
// the current settings by those of an invalid file.
func TestNodeReloadsSettings(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	in := s.start(1)
	path := filepath.Join(t.TempDir(), "node.json")
	write := func(content string) { is.NoErr(os.WriteFile(path, []byte(content), 0o600)) }
	write(s.settingsJSON(1))
	hup := make(chan os.Signal, 1)
	go NewReloader(in.node, path).Run(t.Context(), hup)

	write(strings.Replace(s.settingsJSON(1), `"service":"floor"`, `"service":"house"`, 1))
	hup <- syscall.SIGHUP
	eventually(t, "the reload", func() bool { return in.node.liveSettings.Load().Platform.Service == "house" })
	is.True(strings.Contains(in.log.String(), "platform.service"))

	write(`{"id":`)
	hup <- syscall.SIGHUP
	eventually(t, "the refusal", func() bool { return strings.Contains(in.log.String(), "settings not reloaded") })
	is.Equal(in.node.liveSettings.Load().Platform.Service, "house")
}

// Guards against nodes that cannot start while the store is unavailable, and
// against a configuration that cannot be decoded replacing the one in force.
func TestNodeWithoutStore(t *testing.T) {
	is := is.New(t)
	s := newTestPlatform(t)
	s.publish(1)
	first := s.start(1)
	eventually(t, "readiness", func() bool { return first.ready() == 200 })
	_, err := s.mem.Put(t.Context(), standin.ConfigKey, []byte("{"), 0)
	is.NoErr(err)
	eventually(t, "the refusal", func() bool { return strings.Contains(first.log.String(), "configuration refused") })
	s.store.SetRefusal("127.0.0.1", standin.Busy) // every node connects to the store from this address
	second := s.start(2)
	eventually(t, "readiness from a peer", func() bool { return second.ready() == 200 })
	is.Equal(second.node.current.Version(), uint64(1))
	eventually(t, "the loss of the store", func() bool { return strings.Contains(first.log.String(), "store is lost") })
}
