package buildinfo

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a build ID that differs from what the go command prints for the same
// file, so that operators cannot tell whether a process runs that file.
func TestBuildIDIsThatOfTheGoCommand(t *testing.T) {
	is := is.New(t)
	self, err := os.Executable()
	is.NoErr(err)
	want, err := exec.Command("go", "tool", "buildid", self).Output()
	is.NoErr(err)
	is.Equal(Get().ID, strings.TrimSpace(string(want)))
	is.True(Get().ID != "" && Get().Revision != "" && Get().Go != "" && Get().Platform != "")
}

// Guards against a node that does not start because its own program cannot be read, or
// has no build ID.
func TestProgramWithoutBuildID(t *testing.T) {
	is := is.New(t)
	text := filepath.Join(t.TempDir(), "text")
	is.NoErr(os.WriteFile(text, []byte("#!/bin/sh\n"), 0o600))
	for _, path := range []string{text, filepath.Join(t.TempDir(), "missing")} {
		is.Equal(readID(path), "")
	}
}

// Guards against a panic, or an ID read from outside the note, when the sizes that a
// damaged note states are wrong.
func FuzzParseNote(f *testing.F) {
	f.Add([]byte("\x04\x00\x00\x00\x03\x00\x00\x00\x04\x00\x00\x00Go\x00\x00a/b"))
	f.Add([]byte("\x04\x00\x00\x00\xff\xff\xff\xff\x04\x00\x00\x00Go\x00\x00a/b"))
	f.Fuzz(func(t *testing.T, note []byte) {
		if id := parseNote(note, binary.LittleEndian); !strings.Contains(string(note), id) {
			t.Fatalf("%q is not part of the note", id)
		}
	})
}
