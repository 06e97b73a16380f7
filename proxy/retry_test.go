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
func TestTriesSayWhyTheyEnd(t *testing.T) {
	always, never := &object.PolicySpec{Repeat: object.RepeatAlways, MaxAttempts: 2}, &object.PolicySpec{Repeat: object.RepeatNever, MaxAttempts: 2}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	lost := func() *refusal { return unknown(causeLost, "no answer", nil) }
	for name, c := range map[string]struct {
		policy *object.PolicySpec
		ctx    context.Context
		left   time.Duration
		f      *refusal
		free   int
		spent  bool
		want   bar
	}{
		"idempotent call, lost response":     {always, t.Context(), time.Second, lost(), 3, false, ""},
		"non-idempotent call, lost response": {never, t.Context(), time.Second, lost(), 3, false, barKind},
		"non-idempotent call, refused":       {never, t.Context(), time.Second, notRun("late", "", nil), 3, false, ""},
		"refused, no free retries left":      {never, t.Context(), time.Second, notRun("late", "", nil), 0, false, barFree},
		"lost response, budget used up":      {always, t.Context(), time.Second, lost(), 3, true, barBudget},
		"caller disconnected":                {always, gone, time.Second, lost(), 3, false, barGone},
		"deadline passed":                    {always, t.Context(), -time.Second, lost(), 3, false, barTime},
		"bad request":                        {always, t.Context(), time.Second, badRequest("x"), 3, false, barStatus},
		"retried at another node":            {always, t.Context(), time.Second, &refusal{status: http.StatusBadGateway, retried: true}, 3, false, barRetried},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBudget(1)
			if c.spent {
				is.True(b.withdraw())
			}
			tries := tries{policy: c.policy, budget: b, free: c.free, unsent: true}
			call := &call{r: &http.Request{Method: http.MethodPost}, ctx: c.ctx, deadline: time.Now().Add(c.left)}
			is.Equal(tries.again(call, c.f, "n-1"), c.want == "")
			is.Equal(tries.barred, c.want)
		})
	}
}

// Guards against more attempts than the policy allows.
func TestTriesKeepToTheAttempts(t *testing.T) {
	is := is.New(t)
	tries := tries{policy: &object.PolicySpec{Repeat: object.RepeatAlways, MaxAttempts: 2}, budget: newBudget(10)}
	c := &call{r: &http.Request{Method: http.MethodGet}, ctx: t.Context(), deadline: time.Now().Add(time.Second)}
	is.True(tries.again(c, unknown(causeLost, "", nil), "n-1"))
	is.True(!tries.again(c, unknown(causeLost, "", nil), "n-2"))
	is.Equal(tries.barred, barAttempts)
}
