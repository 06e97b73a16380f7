package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/bench/fleet"
	"siskingw/errdefs"
)

// versionObserver polls the version of every node and records each decrease, also
// across restarts of the node.
type versionObserver struct {
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	decreases []string
}

// observeVersions starts an observer of all instances.
func observeVersions(f *fleet.Fleet) *versionObserver {
	o := &versionObserver{stop: make(chan struct{})}
	for _, in := range f.Instances {
		o.wg.Go(func() { o.poll(in) })
	}
	return o
}

func (o *versionObserver) poll(in *fleet.Instance) {
	var highest uint64
	for {
		if v := version(in); v > 0 && v < highest {
			o.mu.Lock()
			o.decreases = append(o.decreases, fmt.Sprintf("%s went from version %d to %d", in.Name, highest, v))
			o.mu.Unlock()
		} else {
			highest = max(highest, v)
		}
		select {
		case <-o.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stopPolling stops the observer and returns the decreases that it recorded.
func (o *versionObserver) stopPolling() []string {
	close(o.stop)
	o.wg.Wait()
	return o.decreases
}

// Guards against a node that returns to an older version or misses the newest one,
// when nodes are killed, restarted and paused during changes (I1, I9).
func TestVersionsOnlyRiseThroughKillsAndPauses(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3, false)
	o := observeVersions(c.fleet)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 8 {
		victim := c.fleet.Instances[1+random.IntN(len(c.fleet.Instances)-1)]
		if i%2 == 0 {
			victim.Node.Kill()
		} else {
			victim.Node.Pause()
		}
		code, out := c.apply(c.fleet.Instances[0], policyChange(3000+i), "-timeout", "10s")
		is.Equal(code, errdefs.ExitOK) // the change is accepted
		is.True(strings.Contains(out, fmt.Sprint(i+2)))
		time.Sleep(300 * time.Millisecond)
		if i%2 == 0 {
			is.NoErr(victim.Node.Start())
		} else {
			victim.Node.Resume()
		}
	}
	took := c.waitVersion(9, convergeTimeout)
	t.Logf("the last of 8 changes was in force everywhere %s after it was accepted", took)
	is.Equal(o.stopPolling(), nil)
}

// Guards against a store outage that prevents calls or restarts, and against a
// change that is applied partly or twice when its first attempt fails in the
// outage.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2, false)
	c.setStoreFaults(`{"Down":true}`)
	code, _ := c.apply(c.fleet.Instances[1], policyChange(4000), "-timeout", "3s")
	is.True(code == errdefs.ExitUnavailable || code == errdefs.ExitTimeout)
	victim := c.fleet.Instances[3]
	victim.Node.Kill()
	is.NoErr(victim.Node.Start())
	took := c.waitVersion(1, convergeTimeout)
	t.Logf("a node that restarted during the store outage had a version after %s", took)
	for i, in := range c.fleet.Instances {
		is.Equal(call(in, "GET", "/lots/1", fmt.Sprint("outage-", i), "", nil).status, 200)
	}
	c.setStoreFaults(`{}`)
	code, out := c.apply(c.fleet.Instances[1], policyChange(4000))
	t.Log(out)
	is.Equal(code, errdefs.ExitOK)
	// The first attempt either failed or wrote the same content: there is one change.
	for _, in := range c.fleet.Instances {
		is.Equal(version(in), uint64(2))
	}
}

// Guards against a change that is reported as failed, or applied twice, when the
// store applies a write and its response is lost.
func TestLostStoreAnswers(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1, false)
	for lost := 1; lost <= 4; lost++ {
		c.setStoreFaults(fmt.Sprintf(`{"LoseAnswers":%d}`, lost))
		code, out := c.apply(c.fleet.Instances[1], policyChange(4000+lost))
		t.Log(out)
		is.Equal(code, errdefs.ExitOK)
		is.Equal(version(c.fleet.Instances[1]), uint64(1+lost))
	}
}

// Guards against two concurrent changes of one object that are both reported as
// accepted.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1, false)
	const based = `{"objects":[{"kind":"Policy","name":"calls","revision":1,"spec":{"timeoutMs":%d}}]}`
	codes := make([]int, 2)
	outs := make([]string, 2)
	var wg sync.WaitGroup
	for i := range codes {
		wg.Go(func() {
			codes[i], outs[i] = c.apply(c.fleet.Instances[i+1], fmt.Sprintf(based, 5000+i))
		})
	}
	wg.Wait()
	t.Log(outs)
	is.Equal(codes[0]+codes[1], errdefs.ExitConflict) // one is accepted, the other conflicts
	loser := 0
	if codes[1] != 0 {
		loser = 1
	}
	is.True(strings.Contains(outs[loser], "calls")) // the conflict names the object
}

// Guards against a failure domain that stops serving while it is partitioned from
// the others, against a status that shows a version as in force there while it is
// unreachable, and against a domain that stays behind after the partition heals.
func TestCutFailureDomain(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2, true)
	const cut = "alta-a"
	inside := c.fleet.Instances[4]
	c.fleet.Links.Isolate(cut)
	code, out := c.apply(c.fleet.Instances[0], policyChange(4500), "-wait", "-timeout", "6s")
	t.Log(out)
	is.Equal(code, errdefs.ExitTimeout) // accepted, but not in force everywhere
	for i := range 20 {
		a := call(inside, "GET", "/lots/1", fmt.Sprint("cut-", i), "", nil)
		is.Equal(a.status, 200) // the failure domain still reaches its own targets
	}
	for deadline := time.Now().Add(2 * convergeTimeout); !strings.Contains(out, "unreachable") && time.Now().Before(deadline); {
		time.Sleep(200 * time.Millisecond)
		_, out = c.runCommand(c.fleet.Instances[0], "status")
	}
	t.Log(out)
	is.True(strings.Contains(out, "unreachable")) // the status shows the failure domain as unreachable
	code, _ = c.apply(inside, policyChange(4600), "-timeout", "4s")
	is.True(code == errdefs.ExitUnavailable || code == errdefs.ExitTimeout)
	c.fleet.Links.Rejoin(cut)
	took := c.waitVersion(2, convergeTimeout)
	t.Logf("the failure domain had the version %s after the partition healed", took)
}

// Guards against command failures with a wrong exit code.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1, false)
	in := c.fleet.Instances[2]
	code, out := c.apply(in, `{"objects":[{"kind":"Route","name":"x","spec":{"pathPrefix":"/x","service":"none"}}]}`)
	is.Equal(code, errdefs.ExitRefused)
	is.True(strings.Contains(out, "none")) // the message names the missing service
	code, _ = c.apply(in, `{"objects":[{"kind":"Route","nome":"x"}]}`)
	is.Equal(code, errdefs.ExitRefused)
	code, _ = c.runCommand(in, "get", "route/none")
	is.Equal(code, errdefs.ExitNotFound)
	code, _ = c.runCommand(in, "get", "--nonsense")
	is.Equal(code, errdefs.ExitUsage)
	in.Node.Kill()
	code, _ = c.runCommand(in, "status")
	is.Equal(code, errdefs.ExitUnavailable)
	is.Equal(version(c.fleet.Instances[0]), uint64(1)) // none of the refused changes was applied
}
