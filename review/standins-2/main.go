// Command standins-2 plays the cases of the second review: it starts instances of the
// project as processes, on stand-ins of the users' platform, servers and requesters.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases are the cases by the name that a script passes.
var cases = map[string]func(w *world) (broken bool, err error){
	"memory":     playMemory,
	"quarantine": playQuarantine,
	"refused":    playRefused,
	"replaced":   playReplaced,
	"route":      playRoute,
}

// The exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	// The instances end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

// run plays the case that the first argument names. The second one is the folder of the case.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		return exitCannotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannotRun
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.record("cannot run: %v", err)
		return exitCannotRun
	case broken:
		w.record("result: the rule was broken")
		return exitBroken
	}
	w.record("result: the rule held")
	return exitHeld
}
