package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"siskingw/admin"
	"siskingw/snapshot"
)

// Guards against a roll-out that operators cannot follow: state, share, evidence,
// decider and reason.
func TestRollout(t *testing.T) {
	is := is.New(t)
	r := newTestNode(t)
	code, out, _ := r.run("rollout")
	is.Equal(code, 0)
	is.Equal(len(strings.Split(strings.TrimSpace(out), "\n")), 1) // the header alone: the node has no roll-outs

	mux := http.NewServeMux()
	admin.NewServer(nil, new(snapshot.Current), r, logr.Discard()).WithRollouts(func() admin.Rollouts {
		return admin.Rollouts{Node: "node-1", Rollouts: []admin.Rollout{
			{Service: "floor", Version: "v2", Base: "v1", Phase: "moving", SharePercent: 50, Reason: "437 answers, 23 bad",
				Deciders: []string{"node-4"}, NewTargets: 57, OldTargets: 56, NodeCalls: 300, NodeNewCalls: 21, Verdict: "good",
				Answers: 437, BadAnswers: 23, Routes: []admin.RolloutRoute{{Route: "bids", Verdict: "good", Answers: 200,
					BadAnswers: 9, ControlAnswers: 640, ControlShare: 0.05, Ratio: -31.4}}},
			{Service: "scans", Version: "v9"},
		}}
	}).Register(mux)
	t.Cleanup(r.server.Close) // the cleanup of the test node closes the second server
	r.server = httptest.NewServer(mux)
	code, out, _ = r.run("rollout", "floor")
	is.Equal(code, 0)
	for _, want := range []string{"floor", "v1", "v2", "moving 50%", "57 new, 56 old", "good", "23 of 437", "21 of 300", "node-4"} {
		is.True(strings.Contains(out, want))
	}
	is.True(!strings.Contains(out, "scans"))
	code, out, _ = r.run("rollout", "-routes")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "bids") && strings.Contains(out, "5% of 640") && strings.Contains(out, "-31.4"))
}
