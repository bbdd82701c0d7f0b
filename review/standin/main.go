// Command standin holds the stand-ins of the cases in review, and the cases themselves: "standin
// runner" is one runner, and "standin CASE" plays a case with real daemons.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout bounds a whole case.
const caseTimeout = 110 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin runner FLAGS | standin CASE")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(caseTimeout):
		}
		w.record("case", "stopped before its end")
		w.killAll()
		os.Exit(exitFailed)
	}()
	err = play(w)
	w.close()
	switch {
	case errors.Is(err, errBroken):
		fmt.Println("broken:", err)
		os.Exit(exitBroken)
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(exitFailed)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}
