// Package matrix maintains the fault matrix: one row for each step of the system
// and one column for each fault. Steps are read from directives in the code. Each
// cell names the tests that cover the fault at that step, gives the reason why the
// fault cannot occur there, or says why it is not covered yet.
package matrix

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"siskingw/errdefs"
)

// directive marks the function that implements a step.
const directive = "//siskingw:step "

// Faults lists all faults in the order of the table's columns.
var Faults = []string{
	"crash-before", "crash-after", "pause",
	"lost", "doubled", "delayed", "reordered", "corrupted",
	"cut-one-way", "cut-both-ways",
	"store-down", "store-slow", "answer-lost", "lease-lapsed", "watch-gap",
	"clock-back", "clock-ahead", "two-operators",
}

// States of a cell: covered by tests, impossible at that step, or not covered yet.
const (
	Covered    = "covered"
	Impossible = "impossible"
	Open       = "open"
)

// Step is a step that a directive in the code declares.
type Step struct {
	Name    string
	Package string // directory of the package, relative to the root
	Func    string // function with the directive
}

// Cell states how one fault at one step is covered.
type Cell struct {
	State  string   `json:"state"`
	Tests  []string `json:"by,omitempty"`  // tests as package/TestName
	Reason string   `json:"why,omitempty"` // reason, for impossible and open cells
}

// Row holds the cells of one step.
type Row struct {
	// Groups cover all faults; each fault must be in exactly one group.
	Groups []Group `json:"groups"`
}

// Group is one cell that several faults of a row share.
type Group struct {
	Faults []string `json:"faults"`
	Cell
}

// Table is the content of cells.json.
type Table struct {
	Rows  map[string]Row `json:"rows"`
	Pairs []Pair         `json:"pairs"` // tests with two faults in one run
}

// Pair names the tests that inject two faults in one run.
type Pair struct {
	Steps  []string `json:"steps"`
	Faults []string `json:"faults"`
	Tests  []string `json:"by"`
}

// Load reads a table from a JSON file. It returns an Invalid error if the file
// cannot be read or decoded.
func Load(path string) (*Table, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errdefs.Invalid.Wrap(err, "matrix file")
	}
	t := new(Table)
	if err := json.Unmarshal(b, t); err != nil {
		return nil, errdefs.Invalid.Wrap(err, "matrix file %q", path)
	}
	return t, nil
}

// Cell returns the cell of a step and a fault, and whether the table has it.
func (t *Table) Cell(step, fault string) (Cell, bool) {
	for _, g := range t.Rows[step].Groups {
		if slices.Contains(g.Faults, fault) {
			return g.Cell, true
		}
	}
	return Cell{}, false
}

// Steps returns the steps that directives in the non-test Go files below root
// declare, sorted by name. It returns an Invalid error if a file cannot be read or
// parsed, or if a step is declared twice.
func Steps(root string) ([]Step, error) {
	var steps []Step
	err := walkGo(root, false, func(dir string, f *ast.File) {
		for _, decl := range f.Decls {
			fn, ok := decl.(*ast.FuncDecl)
			if !ok || fn.Doc == nil {
				continue
			}
			for _, c := range fn.Doc.List {
				if name, ok := strings.CutPrefix(c.Text, directive); ok {
					steps = append(steps, Step{Name: strings.TrimSpace(name), Package: dir, Func: fn.Name.Name})
				}
			}
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(steps, func(a, b Step) int { return strings.Compare(a.Name, b.Name) })
	for i := 1; i < len(steps); i++ {
		if steps[i].Name == steps[i-1].Name {
			return nil, errdefs.Invalid.New("step %q is declared in %s and %s", steps[i].Name, steps[i-1].Func, steps[i].Func)
		}
	}
	return steps, nil
}

// Tests returns the set of test functions below root, as package/TestName. It
// returns an Invalid error if a file cannot be read or parsed.
func Tests(root string) (map[string]bool, error) {
	tests := make(map[string]bool)
	err := walkGo(root, true, func(dir string, f *ast.File) {
		for _, decl := range f.Decls {
			if fn, ok := decl.(*ast.FuncDecl); ok && fn.Recv == nil && isTest(fn.Name.Name) {
				tests[dir+"/"+fn.Name.Name] = true
			}
		}
	})
	return tests, err
}

func isTest(name string) bool {
	return strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz")
}

// walkGo parses the Go files below root, either only the test files or all others,
// and calls visit with the directory, relative to root, and the syntax tree.
func walkGo(root string, tests bool, visit func(dir string, f *ast.File)) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return errdefs.Invalid.Wrap(err, "source tree")
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") != tests {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return errdefs.Invalid.Wrap(err, "source file %q", path)
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return errdefs.Internal.Wrap(err, "source file %q", path)
		}
		visit(filepath.ToSlash(dir), f)
		return nil
	})
}
