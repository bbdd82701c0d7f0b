package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// errEntry is returned for a line that is not a valid entry.
var errEntry = errors.New("want PACKAGE TEST | COMMAND | SEED | WHAT WAS SEEN | ISSUE")

// entryFields is the number of fields of an entry.
const entryFields = 5

// entry is a test that is known to fail because of a real fault, as listed in KNOWN-RED.txt.
type entry struct {
	Package string // in the form that the go command takes, such as ./proof
	Test    string // name of the test; of a subtest, the names of its parents and its own, joined by slashes
	Command string // how to run it by hand
	Seed    string // seed of its random choices, - if it makes none
	Seen    string // how the fault shows
	Issue   string // issue that the fault is open as
}

func (e entry) String() string { return e.Package + " " + e.Test }

// pattern returns the pattern that matches only the entry's test, for the -run and -skip flags
// of the go command.
func (e entry) pattern() string {
	parts := strings.Split(e.Test, "/")
	for i, p := range parts {
		parts[i] = "^" + p + "$"
	}
	return strings.Join(parts, "/")
}

// readList reads a list of entries, one per line. Empty lines and those that begin with #
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

// readEntry parses one line of the list.
func readEntry(line string) (entry, error) {
	fields := strings.Split(line, "|")
	if len(fields) != entryFields {
		return entry{}, fmt.Errorf("%d fields: %w", len(fields), errEntry)
	}
	for i, p := range fields {
		if fields[i] = strings.TrimSpace(p); fields[i] == "" {
			return entry{}, fmt.Errorf("field %d is empty: %w", i+1, errEntry)
		}
	}
	name := strings.Fields(fields[0])
	if len(name) != 2 || !strings.HasPrefix(name[0], "./") || !strings.HasPrefix(name[1], "Test") {
		return entry{}, fmt.Errorf("%q: %w", fields[0], errEntry)
	}
	return entry{Package: name[0], Test: name[1], Command: fields[1], Seed: fields[2], Seen: fields[3], Issue: fields[4]}, nil
}
