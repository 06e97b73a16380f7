// Package mutants is a mutation test of the checks of the invariants: each mutant
// removes one mechanism from the code, and the tests named with it must fail. The
// source files are not changed; the go command reads the mutated file through an
// overlay.
package mutants

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"siskingw/errdefs"
)

// testTimeout bounds the tests of a mutant; a mutant whose tests hang counts as
// killed. runTimeout bounds the build and the tests together.
const (
	testTimeout = "60s"
	runTimeout  = 3 * time.Minute
)

// Mutant is a textual change that removes one mechanism from one file.
type Mutant struct {
	Name      string `json:"name"`      // mechanism that is removed
	Invariant string `json:"invariant"` // invariant (I1 to I9) or property that the mechanism protects
	File      string `json:"file"`      // relative to the module root
	Old       string `json:"old"`       // text to replace, must occur exactly once in the file
	New       string `json:"new"`
	Package   string `json:"package"` // package whose tests must fail
	Run       string `json:"run"`     // go test -run pattern of these tests
}

// Load reads a list of mutants from a JSON file. It returns an Invalid error if the
// file cannot be read or decoded.
func Load(path string) ([]Mutant, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errdefs.Invalid.Wrap(err, "list of mutants")
	}
	var list []Mutant
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, errdefs.Invalid.Wrap(err, "list of mutants %q", path)
	}
	return list, nil
}

// Apply returns the content of the mutant's file with Old replaced by New. root is
// the module root. It returns an Invalid error if the file cannot be read or Old
// does not occur exactly once.
func (m Mutant) Apply(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, m.File))
	if err != nil {
		return "", errdefs.Invalid.Wrap(err, "mutant %q", m.Name)
	}
	if n := strings.Count(string(b), m.Old); n != 1 {
		return "", errdefs.Invalid.New("mutant %q: the old text occurs %d times in %s, want once", m.Name, n, m.File)
	}
	return strings.Replace(string(b), m.Old, m.New, 1), nil
}

// Result is the outcome of testing one mutant.
type Result struct {
	Mutant
	Killed bool   // the tests failed
	Output string // output of the tests
}

// Test runs the mutant's tests in the module at root, with temporary files in dir.
// It returns an Invalid error if the mutant cannot be applied or does not compile.
func (m Mutant) Test(ctx context.Context, root, dir string) (Result, error) {
	overlay, err := m.overlay(root, dir)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if out, err := runGo(ctx, root, "vet", "-overlay", overlay, m.Package); err != nil {
		return Result{}, errdefs.Invalid.Wrap(err, "mutant %q does not compile: %s", m.Name, out)
	}
	out, err := runGo(ctx, root, "test", "-count=1", "-timeout", testTimeout, "-overlay", overlay, "-run", m.Run, m.Package)
	return Result{Mutant: m, Killed: err != nil, Output: out}, nil
}

// overlay writes the mutated file and a go -overlay file for it to dir and returns
// the path of the overlay file.
func (m Mutant) overlay(root, dir string) (string, error) {
	content, err := m.Apply(root)
	if err != nil {
		return "", err
	}
	mutated := filepath.Join(dir, "mutant.go")
	if err := os.WriteFile(mutated, []byte(content), 0o600); err != nil {
		return "", errdefs.Internal.Wrap(err, "mutant %q", m.Name)
	}
	source, err := filepath.Abs(filepath.Join(root, m.File))
	if err != nil {
		return "", errdefs.Internal.Wrap(err, "mutant %q", m.Name)
	}
	b, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutated}})
	if err != nil {
		return "", errdefs.Internal.Wrap(err, "mutant %q", m.Name)
	}
	path := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return "", errdefs.Internal.Wrap(err, "mutant %q", m.Name)
	}
	return path, nil
}

// runGo runs the go command in root and returns its combined output.
func runGo(ctx context.Context, root string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return string(out), err
}
