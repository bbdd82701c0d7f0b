// Command stand2 plays the cases 6 to 10 of the review: it starts daemons as processes, with stand-ins for the platform,
// the runners and the clients in its own process. It exits with 1 if the rule of the case was broken, with 0 if it held and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	statusHeld = iota
	statusBroken
	statusFailed
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE DAEMON RECORD")
		os.Exit(statusFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and writes its record.
func run(name, daemon, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer os.RemoveAll(dir)
	if daemon, err = filepath.Abs(daemon); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	w := newWorld(daemon, dir, file)
	defer w.close()
	broken, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return statusFailed
	case broken:
		w.note("the rule was broken")
		return statusBroken
	}
	w.note("the rule held")
	return statusHeld
}
