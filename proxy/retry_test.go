package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
)

// Guards against a wrong reason in the log for a call that is not retried, and
// against a retry of a call that may have run and is not idempotent. Both can
// happen when targets lose responses while callers disconnect and the retry
// budget is used up.
func TestNoRetryReasons(t *testing.T) {
	always, never := &object.PolicySpec{Repeat: object.RepeatAlways, MaxAttempts: 2},
		&object.PolicySpec{Repeat: object.RepeatNever, MaxAttempts: 2}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	lostResponse := func() *refusal { return mayHaveRun(causeAnswerLost, "no answer", nil) }
	for name, c := range map[string]struct {
		policy *object.PolicySpec
		ctx    context.Context
		left   time.Duration
		f      *refusal
		free   int
		spent  bool
		want   noRetryReason
	}{
		"idempotent call, lost response":     {always, t.Context(), time.Second, lostResponse(), 3, false, ""},
		"non-idempotent call, lost response": {never, t.Context(), time.Second, lostResponse(), 3, false, noRetryNotIdempotent},
		"non-idempotent call, refused":       {never, t.Context(), time.Second, notRun("late", "", nil), 3, false, ""},
		"refused, no free retries left": {never, t.Context(), time.Second, notRun("late", "", nil),
			0, false, noRetryFreeLimit},
		"lost response, budget used up": {always, t.Context(), time.Second, lostResponse(), 3, true, noRetryBudget},
		"caller disconnected":           {always, gone, time.Second, lostResponse(), 3, false, noRetryCanceled},
		"deadline passed":               {always, t.Context(), -time.Second, lostResponse(), 3, false, noRetryDeadline},
		"bad request":                   {always, t.Context(), time.Second, badRequest("x"), 3, false, noRetryStatus},
		"retried at another node": {always, t.Context(), time.Second,
			&refusal{status: http.StatusBadGateway, retried: true}, 3, false, noRetryAlreadyRetried},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRetryBudget(1)
			if c.spent {
				is.True(b.withdraw())
			}
			state := retryState{policy: c.policy, budget: b, freeLeft: c.free, freeEnabled: true}
			call := &call{r: &http.Request{Method: http.MethodPost}, ctx: c.ctx, deadline: time.Now().Add(c.left)}
			is.Equal(state.shouldRetry(call, c.f, "n-1"), c.want == "")
			is.Equal(state.noRetry, c.want)
		})
	}
}

// Guards against more attempts than the policy allows.
func TestRetriesStayWithinMaxAttempts(t *testing.T) {
	is := is.New(t)
	state := retryState{policy: &object.PolicySpec{Repeat: object.RepeatAlways, MaxAttempts: 2}, budget: newRetryBudget(10)}
	c := &call{r: &http.Request{Method: http.MethodGet}, ctx: t.Context(), deadline: time.Now().Add(time.Second)}
	is.True(state.shouldRetry(c, mayHaveRun(causeAnswerLost, "", nil), "n-1"))
	is.True(!state.shouldRetry(c, mayHaveRun(causeAnswerLost, "", nil), "n-2"))
	is.Equal(state.noRetry, noRetryLimit)
}

// Guards against a call that was sent twice and is reported as not retried, so that
// the caller's node sends it a third time: the retry that was decided last was free
// and was not sent.
func TestUnsentFreeRetryDoesNotHideASentOne(t *testing.T) {
	is := is.New(t)
	state := retryState{policy: &object.PolicySpec{Repeat: object.RepeatAlways, MaxAttempts: 3}, budget: newRetryBudget(10),
		freeLeft: 3, freeEnabled: true}
	c := &call{r: &http.Request{Method: http.MethodGet}, ctx: t.Context(), deadline: time.Now().Add(time.Second)}
	noEndpoint := func() *refusal { return notRun(causeNoEndpoint, "", nil) }
	is.True(state.shouldRetry(c, mayHaveRun(causeAnswerLost, "", nil), "n-1")) // charged
	is.True(!state.result(noEndpoint()).retried)                               // not sent
	is.True(state.shouldRetry(c, notRun("late", "", nil), "n-2"))              // free: the charged one was sent
	is.True(state.result(noEndpoint()).retried)
}

// Guards against a call that is sent once more to a target which has refused it: a
// copy of that refusal on another connection would be taken as the response to the
// second attempt while that one runs.
func TestTargetThatRefusedIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	state := retryState{policy: &object.PolicySpec{Repeat: object.RepeatNever, MaxAttempts: 4}, budget: newRetryBudget(10),
		freeLeft: 3, freeEnabled: true}
	c := &call{r: &http.Request{Method: http.MethodPost}, ctx: t.Context(), deadline: time.Now().Add(time.Second),
		work: work{targetTime: time.Now().Add(-time.Millisecond)}}
	byTarget, byGate := notRun(causeTarget, "", nil), notRun("late", "", nil)
	byTarget.reachedTarget, byGate.overloaded = true, true
	is.True(state.shouldRetry(c, byTarget, "n-1"))
	state.freeLeft = 0
	is.True(state.shouldRetry(c, byGate, "n-2")) // once more, late: gates may be asked again
	is.True(state.allowLate)
	is.Equal(state.excluded, []string{"n-1"})
	late := notRun(causeTarget, "", nil)
	late.reachedTarget = true
	is.True(state.shouldRetry(c, late, "n-3"))
	is.Equal(state.excluded, []string{"n-1", "n-3"})
}
