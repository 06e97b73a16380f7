package admit

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against uploads that are sent to an instance whose link cannot transfer
// them in time: the estimated transfer time must include the pending bytes, and
// no bytes must stay pending after a body has arrived or was cut off.
func TestLinkCountsPendingBytes(t *testing.T) {
	is := is.New(t)
	l := NewLink(1000)
	is.Equal(l.Report().TransferTime(500), 500*time.Millisecond)
	first, done := l.Receive(strings.NewReader(strings.Repeat("a", 600)), 1000) // is cut off
	_, doneSecond := l.Receive(strings.NewReader(strings.Repeat("b", 1000)), 1000)
	is.Equal(l.Report().TransferTime(1000), 3*time.Second)
	_, err := io.Copy(io.Discard, first)
	is.NoErr(err)
	is.Equal(l.Report().TransferTime(1000), 2400*time.Millisecond)
	done()
	doneSecond()
	is.Equal(l.Report().PendingBytes, int64(0))

	var none *Link
	is.Equal(none.Report().TransferTime(1<<40), time.Duration(0))
	is.Equal(NewLink(0).Report().TransferTime(1<<40), time.Duration(0))
}
