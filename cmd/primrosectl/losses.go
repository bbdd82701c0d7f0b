package main

import (
	"os"

	"github.com/integrii/flaggy"

	"primroseward/io/logs"
)

// lossesCommand reads a file with the logs of one or several daemons; it calls no daemon.
func lossesCommand() command {
	s := flaggy.NewSubcommand("losses")
	s.Description = "show which requests were late, refused or lost, and when, from a file of logs"
	var file string
	s.AddPositionalValue(&file, "FILE", 1, true, "logs of one or several daemons")
	return command{s, func(c *client) error {
		lines, err := readLogs(file)
		if err != nil {
			return err
		}
		losses := logs.CountLosses(lines)
		if c.json {
			return printJSON(losses)
		}
		return losses.Print(os.Stdout)
	}}
}
