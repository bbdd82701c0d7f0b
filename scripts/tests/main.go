// Command tests runs all tests of the project. Those that KNOWN-RED.txt lists are left
// out, run by themselves afterwards and printed: each must still fail. A listed name that
// matches no test, or whose test passes, fails the whole run, so that the list never holds
// more than it has to.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// listFile lists the tests that are known to fail.
const listFile = "KNOWN-RED.txt"

// testTimeout is for the tests of one run of the go command.
const testTimeout = "20m"

// errVerdict is the error of a run that does not pass, after its cause was printed.
var errVerdict = errors.New("tests failed")

func main() {
	r := &runner{out: os.Stdout, run: goCommand}
	if err := r.all(listFile, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "tests:", err)
		os.Exit(1)
	}
}

// goCommand runs the go command; its output goes to out and is returned.
func goCommand(out io.Writer, args ...string) (string, error) {
	var text strings.Builder
	cmd := exec.Command("go", args...)
	cmd.Stdout = io.MultiWriter(out, &text)
	cmd.Stderr = cmd.Stdout
	err := cmd.Run()
	return text.String(), err
}

// runner runs tests with the go command.
type runner struct {
	out io.Writer
	run func(out io.Writer, args ...string) (string, error)
}

// all runs the tests of all packages, with more flags for each run of the go command.
func (r *runner) all(file string, flags []string) error {
	red, err := r.list(file)
	if err != nil {
		return err
	}
	ok := r.others(red, flags)
	for _, e := range red {
		if err := r.stillFails(e, flags); err != nil {
			fmt.Fprintf(r.out, "known red: %s: %v\n", e, err)
			ok = false
		}
	}
	for _, e := range red {
		fmt.Fprintf(r.out, "KNOWN RED %s: %s (%s, seed %s, %s)\n", e, e.Seen, e.Command, e.Seed, e.Issue)
	}
	if !ok {
		return errVerdict
	}
	return nil
}

// list reads the list of tests that are known to fail; there need not be one.
func (r *runner) list(file string) ([]entry, error) {
	in, err := os.Open(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer in.Close()
	red, err := readList(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return red, nil
}

// others runs all tests but the listed ones. A package with a listed test is run by
// itself: the go command leaves out a name in all packages that it tests.
func (r *runner) others(red []entry, flags []string) (ok bool) {
	skip := map[string][]string{}
	var apart []string
	for _, e := range red {
		if skip[e.Package] == nil {
			apart = append(apart, e.Package)
		}
		skip[e.Package] = append(skip[e.Package], e.pattern())
	}
	ok = true
	if packages, err := r.packagesBut(apart); err != nil {
		ok = false
	} else if _, err := r.test(flags, packages...); err != nil {
		ok = false
	}
	for _, p := range apart {
		if _, err := r.test(flags, "-skip", strings.Join(skip[p], "|"), p); err != nil {
			ok = false
		}
	}
	return ok
}

// packagesBut names all packages but some.
func (r *runner) packagesBut(apart []string) ([]string, error) {
	if len(apart) == 0 {
		return []string{"./..."}, nil
	}
	left, err := r.run(io.Discard, append([]string{"list"}, apart...)...)
	if err != nil {
		fmt.Fprint(r.out, left)
		return nil, err
	}
	all, err := r.run(io.Discard, "list", "./...")
	if err != nil {
		fmt.Fprint(r.out, all)
		return nil, err
	}
	out := map[string]bool{}
	for _, p := range strings.Fields(left) {
		out[p] = true
	}
	var rest []string
	for _, p := range strings.Fields(all) {
		if !out[p] {
			rest = append(rest, p)
		}
	}
	return rest, nil
}

func (r *runner) test(flags []string, args ...string) (string, error) {
	all := append([]string{"test", "-count=1", "-timeout", testTimeout}, flags...)
	return r.run(r.out, append(all, args...)...)
}

// Errors of a listed test.
var (
	errNoTest = errors.New("the name matches no test")
	errPasses = errors.New("the test passes: take it off the list")
	errOther  = errors.New("the test did not fail by itself")
)

// stillFails runs a listed test.
func (r *runner) stillFails(e entry, flags []string) error {
	text, err := r.test(flags, "-v", "-run", e.pattern(), e.Package)
	switch {
	case strings.Contains(text, "--- FAIL: "+e.Test+" ("):
		return nil
	case strings.Contains(text, "=== RUN   "+e.Test+"\n") && err == nil:
		return errPasses
	case err == nil:
		return errNoTest
	default:
		return errOther // it does not build, or ran out of time
	}
}
