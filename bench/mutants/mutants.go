// Package mutants shows that the checks of the invariants can fail: each
// mutant removes one mechanism from the code, and the named tests must go red.
// The code itself is not changed; the go command reads the mutant as an overlay.
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

// testTimeout ends the tests of a mutant that hangs them, which kills it too;
// runTimeout also bounds the build.
const (
	testTimeout = "60s"
	runTimeout  = 3 * time.Minute
)

// Mutant removes one mechanism.
type Mutant struct {
	Name      string `json:"name"`      // what is removed
	Invariant string `json:"invariant"` // I1 to I9, or the property
	File      string `json:"file"`      // below the module root
	Old       string `json:"old"`       // occurs once in the file
	New       string `json:"new"`
	Package   string `json:"package"` // whose tests must fail
	Run       string `json:"run"`     // pattern of the tests
}

// Load reads the list of mutants.
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

// Apply returns the mutated content of the mutant's file. It returns an
// Invalid error unless the old text occurs exactly once.
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

// Result is what became of one mutant.
type Result struct {
	Mutant
	Killed bool
	Output string // of the tests
}

// Test runs the mutant's tests. It returns an Invalid error when the mutant
// does not compile.
func (m Mutant) Test(ctx context.Context, root, dir string) (Result, error) {
	overlay, err := m.overlay(root, dir)
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if out, err := command(ctx, root, "vet", "-overlay", overlay, m.Package); err != nil {
		return Result{}, errdefs.Invalid.Wrap(err, "mutant %q does not compile: %s", m.Name, out)
	}
	out, err := command(ctx, root, "test", "-count=1", "-timeout", testTimeout, "-overlay", overlay, "-run", m.Run, m.Package)
	return Result{Mutant: m, Killed: err != nil, Output: out}, nil
}

// overlay writes the mutated file and the overlay description below dir.
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

// command runs the go command at root and returns its output.
func command(ctx context.Context, root string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return string(out), err
}
