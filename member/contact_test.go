package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that is cut off from the others and does not notice it
// with the first probe, and against one that believes to be cut off because a
// single member failed, or while others still reach it.
func TestContact(t *testing.T) {
	is := is.New(t)
	var c contact
	start := time.UnixMilli(1_000_000)
	silent := probeResult{started: start, helpersAsked: 3}

	c.observe(probeResult{started: start, helpersAsked: 3, negativeReplies: 1}) // only the member failed
	is.Equal(c.cutOff.Load(), false)
	c.observe(silent)
	is.True(c.cutOff.Load())
	c.observe(probeResult{started: start, answered: true})
	is.Equal(c.cutOff.Load(), false)

	c.heard(start.Add(300 * time.Millisecond)) // another node reached this one during the probe
	c.observe(silent)
	is.Equal(c.cutOff.Load(), false)
	silent.started = start.Add(time.Second)
	c.observe(silent)
	is.True(c.cutOff.Load())
	c.heard(start.Add(3 * time.Second))
	is.Equal(c.cutOff.Load(), false)
}
