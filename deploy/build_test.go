// Package deploy holds the files with which the users' platform builds and starts
// siskingw. It has no code.
package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

// checkout is a folder with the build line and a small program in place of siskingw.
type checkout struct {
	t    *testing.T
	dir  string
	root string // temporary folder above which git looks for no repository
}

func newCheckout(t *testing.T) checkout {
	t.Helper()
	dir := t.TempDir()
	c := checkout{t, dir, filepath.Dir(dir)}
	script, err := os.ReadFile("build.sh")
	if err != nil {
		t.Fatal(err)
	}
	c.write("deploy/build.sh", string(script))
	c.write("go.mod", "module siskingw\n\ngo 1.26.0\n")
	c.write("buildinfo/buildinfo.go", "package buildinfo\n\nvar revision string\n\nfunc Revision() string { return revision }\n")
	c.write("cmd/siskingw/main.go", "package main\n\nimport (\n\t\"os\"\n\n\t\"siskingw/buildinfo\"\n)\n\n"+
		"func main() { os.Stdout.WriteString(\"new \" + buildinfo.Revision()) }\n")
	return c
}

func (c checkout) write(path, text string) {
	c.t.Helper()
	path = filepath.Join(c.dir, path)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		c.t.Fatal(err)
	}
}

// build runs the build line of system.toml with the defaults of the go command.
func (c checkout) build() error {
	settings, err := os.ReadFile("system.toml")
	if err != nil {
		c.t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(settings)
	if line == nil {
		c.t.Fatal("system.toml has no build line")
	}
	cmd := exec.Command("sh", "-c", string(line[1]))
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "GOENV=off", "GOFLAGS=", "GOTOOLCHAIN=local", "GIT_CEILING_DIRECTORIES="+c.root)
	out, err := cmd.CombinedOutput()
	c.t.Logf("%s", out)
	return err
}

// run returns what the built program prints.
func (c checkout) run() string {
	c.t.Helper()
	out, err := exec.Command(filepath.Join(c.dir, "target/siskingw")).Output()
	if err != nil {
		c.t.Fatal(err)
	}
	return string(out)
}

// Guards against a build that fails where git refuses to read the repository, as it does
// in a checkout of another user.
func TestBuildWhereGitRefusesTheRepository(t *testing.T) {
	is := is.New(t)
	c := newCheckout(t)
	c.write(".git/HEAD", "not a repository")
	is.NoErr(c.build())
	is.Equal(c.run(), "new ")
}

// Guards against a failed build after which the program of an earlier one is run in
// place of the current code.
func TestFailedBuildLeavesNoEarlierProgram(t *testing.T) {
	is := is.New(t)
	c := newCheckout(t)
	is.NoErr(c.build())
	c.write("cmd/siskingw/main.go", "package main\n\nfunc main() { fails }\n")
	is.True(c.build() != nil)
	_, err := os.Stat(filepath.Join(c.dir, "target/siskingw"))
	is.True(os.IsNotExist(err))
}

// Guards against a file that is not a program, such as a wrapper script, which go build
// refuses to replace and leaves in place.
func TestBuildReplacesAnyFile(t *testing.T) {
	is := is.New(t)
	c := newCheckout(t)
	c.write("target/siskingw", "#!/bin/sh\necho old\n")
	is.NoErr(c.build())
	is.Equal(c.run(), "new ")
}

// Guards against a program that does not name the commit it was built from, or names that
// of another repository around its own.
func TestBuildRecordsTheRevision(t *testing.T) {
	is := is.New(t)
	c := newCheckout(t)
	git := func(args ...string) {
		t.Helper()
		cmd := exec.Command("git", append([]string{"-c", "user.name=a", "-c", "user.email=a@example.org"}, args...)...)
		cmd.Dir = c.dir
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("git %v: %s", args, out)
		}
	}
	git("init", "-q")
	git("add", "deploy", "go.mod", "buildinfo", "cmd")
	git("commit", "-q", "-m", "first")
	is.NoErr(c.build())
	is.True(regexp.MustCompile(`^new [0-9a-f]{40}$`).MatchString(c.run()))
	c.write("go.mod", "module siskingw\n\ngo 1.26\n")
	is.NoErr(c.build())
	is.True(regexp.MustCompile(`^new [0-9a-f]{40}-dirty$`).MatchString(c.run()))

	inner := newCheckout(t)
	outside := inner.dir
	inner.dir, inner.root = filepath.Join(c.dir, "inner"), c.root
	is.NoErr(os.CopyFS(inner.dir, os.DirFS(outside)))
	is.NoErr(inner.build())
	is.Equal(inner.run(), "new ")
}
