package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against limits that are derived from the machine and leave a large machine
// without limits or a small one without room for the largest legal request.
func TestLimitsFollowTheMachine(t *testing.T) {
	for _, machine := range []struct{ memoryMB, maxFiles, callMemoryMB, connections, dialed, peers, peerMemoryMB int }{
		{112, 4100, 33, 896, 1066, 358, 11},
		{134, 4100, 40, 1072, 1066, 428, 13},
		{536, 4100, 160, 1778, 1066, 711, 53},
		{96, 160, 28, 54, 32, 21, 9},
		{1, 1, 1, 1, 1, 16, 8},
		{0, 0, 256, 0, 0, 0, 64},
	} {
		is := is.New(t)
		var l Limits
		l.fillDefaults(&Platform{MemoryMB: machine.memoryMB, MaxFiles: machine.maxFiles})
		is.Equal(l.CallMemoryMB, machine.callMemoryMB)
		is.Equal(l.Connections, machine.connections)
		is.Equal(l.DialedConnections, machine.dialed)
		is.Equal(l.PeerConnections, machine.peers)
		is.Equal(l.PeerMemoryMB, machine.peerMemoryMB)
		is.Equal(l.OtherConnections >= 16, machine.maxFiles > 0)
		is.Equal(l.BodyStallMs, 3000)
	}
}

// Guards against limits that are accepted but make the node refuse every call.
func TestLimitsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(strings.Replace(valid, `"target"`, `"limits":{"callMemoryMB":-1,"minBodyRate":-2,"streamSlotPercent":101,"peerMemoryMB":7},"target"`, 1)))
	is.True(err != nil)
	for _, want := range []string{"limits.callMemoryMB:", "limits.minBodyRate:", "limits.streamSlotPercent:", "limits.peerMemoryMB:"} {
		is.True(strings.Contains(err.Error(), want))
	}
}
