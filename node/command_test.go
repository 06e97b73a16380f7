package node

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"

	"siskingw/settings"
)

// Guards against a process that the platform kills because garbage grows beyond
// the memory limit of its instance or doubles its memory, and against a limit that
// the settings do not state.
func TestMemoryLimitFollowsSettings(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1) // only reads it
	defer debug.SetMemoryLimit(before)
	limitMemory(&settings.Settings{})
	limitMemory(&settings.Settings{Platform: &settings.Platform{}})
	is.Equal(debug.SetMemoryLimit(-1), before)
	percent := debug.SetGCPercent(100)
	defer debug.SetGCPercent(percent)
	limitMemory(&settings.Settings{Platform: &settings.Platform{MemoryMB: 200}})
	is.Equal(debug.SetMemoryLimit(-1), int64(170<<20))
	is.Equal(debug.SetGCPercent(percent), garbagePercent)
}
