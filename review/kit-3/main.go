//go:build review

// Command kit-3 runs the scripted cases of the third review: it starts real nodes
// against stand-ins of the platform's store, of endpoints and of clients, on loopback
// addresses. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(r *rig, trouble bool) (verdict, error){
	"quota-twice":      quotaTwice,
	"version-again":    versionAgain,
	"rollout-undone":   rolloutUndone,
	"order-ignored":    orderIgnored,
	"config-not-heard": configNotHeard,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Println("usage: kit-3 CASE RECORD")
		return 2
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	r, err := newRig(rec)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case", "%s, with the disruption: %v", args[0], trouble)
	v, err := cases[args[0]](r, trouble)
	if err != nil {
		rec.log("case", "cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return 2
	}
	word, code := "held", 0
	if v.broken {
		word, code = "BROKEN", 1
	}
	rec.log("verdict", "%s: %s", word, v.text)
	fmt.Printf("%s: %s\n", word, v.text)
	return code
}
