// Command standins plays the clients, the servers and the platform of a review's cases against
// entry instances, which it starts as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"session":   runSession,
	"latestop":  runLateStop,
	"lockorder": runLockOrder,
	"silent":    runSilent,
	"unseen":    runUnseen,
	"held":      runHeld,

	"slowtokens": runSlowTokens,
	"forgotten":  runForgotten,
	"laterbad":   runLaterBad,
	"emptied":    runEmptied,
	"oneroute":   runOneRoute,
	"reordered":  runReordered,
}

func main() {
	program := flag.String("program", "target/rwentry", "the program of an instance")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *record, *trouble))
}

func run(name, program, record string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(program, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot set up:", err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		w.log("RESULT: the rule was broken")
		return exitBroken
	}
	w.log("RESULT: the rule held")
	return exitHeld
}
