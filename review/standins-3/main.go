package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the scripts by name.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"drain":  playDrain,
	"poison": playPoison,
}

func main() { os.Exit(run()) }

// run returns 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		w.log("the case couldn't run: %v", err)
	}
	if err := w.writeRecord(*record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case err != nil:
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
