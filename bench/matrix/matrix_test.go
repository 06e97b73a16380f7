package matrix

import (
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// wantSteps are the steps of a configuration change, of a call and of a member's
// life cycle, in this order.
var wantSteps = strings.Fields(`validate write-parts swap-head watch-fires read-version spread-domain
	spread-region check-version put-in-force confirm aggregate read-back
	choose connect send admit run answer record answer-again
	announce drain leave`)

// moduleRoot returns the nearest directory above this file that holds go.mod.
func moduleRoot(t *testing.T) string {
	t.Helper()
	_, file, _, ok := runtime.Caller(0)
	dir := filepath.Dir(file)
	if wd, err := os.Getwd(); !ok || !filepath.IsAbs(file) {
		if err != nil { // with -trimpath the file name is not absolute; tests run in their package's directory
			t.Fatal(err)
		}
		dir = wd
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			t.Fatalf("no go.mod above %s", file)
		}
		dir = filepath.Dir(dir)
	}
}

func loadMatrix(t *testing.T) (root string, table *Table, steps []Step) {
	t.Helper()
	root = moduleRoot(t)
	table, err := Load(filepath.Join(root, CellsFile))
	if err != nil {
		t.Fatal(err)
	}
	if steps, err = Steps(root); err != nil {
		t.Fatal(err)
	}
	return root, table, steps
}

// Guards against a step that loses its directive, an unexpected directive, and a row
// for a step that does not exist.
func TestStepsAreDeclared(t *testing.T) {
	is := is.New(t)
	_, table, steps := loadMatrix(t)
	var names []string
	for _, s := range steps {
		names = append(names, s.Name)
	}
	is.Equal(names, slices.Sorted(slices.Values(wantSteps)))
	for name := range table.Rows {
		if !slices.Contains(names, name) {
			t.Errorf("cells.json has a row for step %q, which no function declares", name)
		}
	}
}

// Guards against cells that are missing, listed twice or lack a reason, and against
// names of tests that do not exist.
func TestEveryCellIsValid(t *testing.T) {
	root, table, steps := loadMatrix(t)
	tests, err := Tests(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range steps {
		seen := make(map[string]int)
		for _, g := range table.Rows[s.Name].Groups {
			for _, f := range g.Faults {
				seen[f]++
				if !slices.Contains(Faults, f) {
					t.Errorf("%s: unknown fault %q", s.Name, f)
				}
			}
			checkCell(t, s.Name+" "+strings.Join(g.Faults, ","), g.Cell, tests)
		}
		for _, f := range Faults {
			if seen[f] != 1 {
				t.Errorf("%s: fault %s has %d cells, want 1", s.Name, f, seen[f])
			}
		}
	}
}

func checkCell(t *testing.T, where string, c Cell, tests map[string]bool) {
	t.Helper()
	switch c.State {
	case Covered:
		checkTestsExist(t, where, c.Tests, tests)
	case Impossible, Open:
		if strings.TrimSpace(c.Reason) == "" || len(c.Tests) > 0 {
			t.Errorf("%s: %s needs a reason and no tests", where, c.State)
		}
	default:
		t.Errorf("%s: unknown state %q", where, c.State)
	}
}

func checkTestsExist(t *testing.T, where string, names []string, tests map[string]bool) {
	t.Helper()
	if len(names) == 0 {
		t.Errorf("%s: no test is named", where)
	}
	for _, name := range names {
		if !tests[name] {
			t.Errorf("%s: test %s does not exist", where, name)
		}
	}
}

// Guards against pairs with unknown steps or faults, or without an existing test.
func TestPairsAreValid(t *testing.T) {
	root, table, _ := loadMatrix(t)
	tests, err := Tests(root)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range table.Pairs {
		where := strings.Join(p.Faults, " and ")
		if len(p.Faults) != 2 || len(p.Steps) == 0 {
			t.Errorf("%s: want two faults and their steps", where)
		}
		for _, f := range p.Faults {
			if !slices.Contains(Faults, f) {
				t.Errorf("%s: unknown fault %q", where, f)
			}
		}
		for _, s := range p.Steps {
			if !slices.Contains(wantSteps, s) {
				t.Errorf("%s: unknown step %q", where, s)
			}
		}
		checkTestsExist(t, where, p.Tests, tests)
	}
}

// Guards against a committed page that differs from the one rendered from the cells
// and the directives.
func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	root := moduleRoot(t)
	page, err := Page(root)
	is.NoErr(err)
	got, err := os.ReadFile(filepath.Join(root, PageFile))
	is.NoErr(err)
	if string(got) != page {
		t.Fatalf("%s is not current; run meshbench matrix -write", PageFile)
	}
}
