// Package buildinfo identifies the program that a process runs.
package buildinfo

import (
	"cmp"
	"debug/elf"
	"encoding/binary"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
)

// revision is set by the linker, see deploy/build.sh.
var revision string

// unknown stands for a part that could not be read.
const unknown = "unknown"

// Info identifies a build. Its zero value stands for a build that is not known.
type Info struct {
	// Revision is the commit, with the suffix "-dirty" if files had changed since.
	Revision string `json:"revision"`
	// ID is Go's build ID, which differs between any two programs. "go tool buildid FILE"
	// prints that of a file.
	ID string `json:"id"`
	// Go is the version of the Go toolchain, Platform the operating system and the
	// processor, as in linux/arm64.
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

// Get returns the build of this process. No field is empty: parts that cannot be read are
// "unknown".
var Get = sync.OnceValue(func() Info {
	return Info{
		Revision: cmp.Or(revision, stampedRevision(), unknown), ID: cmp.Or(readID("/proc/self/exe"), unknown),
		Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH,
	}
})

// stampedRevision returns the revision that the go command has recorded, or "".
func stampedRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	var stamped, suffix string
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			stamped = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "-dirty"
		}
	}
	if stamped == "" {
		return ""
	}
	return stamped + suffix
}

// Parts of the ELF note in which the Go linker records the build ID.
const (
	noteSection = ".note.go.buildid"
	noteName    = "Go\x00\x00"
	noteType    = 4
	noteHeader  = 12 // bytes: size of the name, size of the ID, type
	maxNote     = 4 << 10
)

// readID returns the Go build ID of an ELF file, or "" if it has none.
func readID(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer file.Close()
	program, err := elf.NewFile(file)
	if err != nil {
		return ""
	}
	section := program.Section(noteSection)
	if section == nil || section.Size > maxNote {
		return ""
	}
	note, err := section.Data()
	if err != nil {
		return ""
	}
	return parseNote(note, program.ByteOrder)
}

// parseNote returns the build ID in an ELF note, or "" if it is not one of the Go linker.
func parseNote(note []byte, order binary.ByteOrder) string {
	if len(note) < noteHeader+len(noteName) {
		return ""
	}
	nameSize, idSize, kind := order.Uint32(note), order.Uint32(note[4:]), order.Uint32(note[8:])
	id := note[noteHeader+len(noteName):]
	if int(nameSize) != len(noteName) || kind != noteType || string(note[noteHeader:][:len(noteName)]) != noteName ||
		uint64(idSize) > uint64(len(id)) {
		return ""
	}
	return string(id[:idSize])
}
