package main

import (
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"primroseward/core"
	"primroseward/io/logs"
)

// followCommand reads a file with the logs of one or several daemons; it calls no daemon.
func followCommand() command {
	s := flaggy.NewSubcommand("follow")
	s.Description = "show the log lines of a request, and of the runners and dependencies it used, from a file of logs"
	var request, file string
	s.AddPositionalValue(&request, "ID", 1, true, "the caller's request id")
	s.AddPositionalValue(&file, "FILE", 2, true, "logs of one or several daemons")
	return command{s, func(c *client) error {
		lines, err := readLogs(file)
		if err != nil {
			return err
		}
		found := logs.Follow(lines, request)
		if len(found) == 0 {
			return eris.Wrapf(core.ErrNotFound, "no log line for request %s; some lines may have been left out, look for %q", request, logs.LinesDropped)
		}
		if c.json {
			return printJSON(found)
		}
		return logs.Print(os.Stdout, found)
	}}
}

// readLogs reads the log lines of a file.
func readLogs(file string) ([]logs.Line, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "logs")
	}
	defer in.Close()
	lines, _, err := logs.Read(in)
	return lines, err
}
