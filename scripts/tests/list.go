package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// errEntry is the error of a line that is no entry.
var errEntry = errors.New("want PACKAGE TEST | COMMAND | SEED | WHAT WAS SEEN | ISSUE")

// entryFields is how many parts an entry has.
const entryFields = 5

// entry is a test that is known to fail for a real fault, as KNOWN-RED.txt lists it.
type entry struct {
	Package string // as the go command takes it, such as ./proof
	Test    string // a test's name, of a subtest with its parents', by slashes
	Command string // how to run it by hand
	Seed    string // of its random choices, - if it makes none
	Seen    string // how the fault shows
	Issue   string // where it is open
}

func (e entry) String() string { return e.Package + " " + e.Test }

// pattern selects just the entry's test, for the go command's -run and -skip.
func (e entry) pattern() string {
	parts := strings.Split(e.Test, "/")
	for i, p := range parts {
		parts[i] = "^" + p + "$"
	}
	return strings.Join(parts, "/")
}

// readList reads a list of entries, one a line. Empty lines and those that begin with #
// are skipped.
func readList(in io.Reader) ([]entry, error) {
	var out []entry
	scan := bufio.NewScanner(in)
	for n := 1; scan.Scan(); n++ {
		line := strings.TrimSpace(scan.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := readEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		out = append(out, e)
	}
	return out, scan.Err()
}

func readEntry(line string) (entry, error) {
	parts := strings.Split(line, "|")
	if len(parts) != entryFields {
		return entry{}, fmt.Errorf("%d parts: %w", len(parts), errEntry)
	}
	for i, p := range parts {
		if parts[i] = strings.TrimSpace(p); parts[i] == "" {
			return entry{}, fmt.Errorf("part %d is empty: %w", i+1, errEntry)
		}
	}
	name := strings.Fields(parts[0])
	if len(name) != 2 || !strings.HasPrefix(name[0], "./") || !strings.HasPrefix(name[1], "Test") {
		return entry{}, fmt.Errorf("%q: %w", parts[0], errEntry)
	}
	return entry{Package: name[0], Test: name[1], Command: parts[1], Seed: parts[2], Seen: parts[3], Issue: parts[4]}, nil
}
