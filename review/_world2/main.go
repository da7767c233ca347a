// Command world2 plays one case of review/REPORT-2.md: it starts a stand-in of the platform and of upstreams in this process,
// the project's own program as one process for each machine, and clients, and checks one rule of the users' pages from what
// clients and upstreams have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases holds the cases by name. Each returns why the rule was broken, empty if it held.
var cases = map[string]func(w *world, trouble bool) (string, error){
	"limit":  playLimit,
	"poison": playPoison,
	"upload": playUpload,
	"gone":   playGone,
	"slow":   playSlow,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/mustardring", "the project's program")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "world2: no such case:", *name)
		return cannotRun
	}
	w, err := newWorld(*binary, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "world2:", err)
		return cannotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(cannotRun)
	}()
	why, err := play(w, os.Getenv("TROUBLE") != "0")
	w.close()
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		fmt.Println("could not run:", err)
		return cannotRun
	case why != "":
		w.note("BROKEN: %s", why)
		fmt.Println("broken:", why)
		return broken
	default:
		w.note("the rule held")
		fmt.Println("held")
		return held
	}
}
