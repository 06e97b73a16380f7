//go:build review

// Command kit-2 runs the script cases of the second review: it starts nodes with the
// program of the deploy file, and plays the store, the endpoints and the clients itself.
//
// It runs in the root of the repository: kit-2 CASE FOLDER. With TROUBLE=0 the case does
// the same without its disruption. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its play. It reports whether the rule was broken.
var cases = map[string]func(dir string, rec *record, trouble bool) (broken bool, err error){
	"stray-answer": strayAnswer, "other-writer": otherWriter, "route-name": routeName, "store-moves": storeMoves,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	dir, err := os.MkdirTemp("", "kit-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.file.Close()
	broken, err := cases[name](dir, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("BROKEN")
		return 1
	}
	rec.say("held")
	return 0
}
