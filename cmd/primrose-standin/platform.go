package main

import (
	"github.com/integrii/flaggy"

	"primroseward/standin/platform"
)

func platformCommand() (*flaggy.Subcommand, func()) {
	addr := "127.0.0.1:7000"
	c := flaggy.NewSubcommand("platform")
	c.Description = "the platform's object API, in memory"
	c.String(&addr, "a", "addr", "IP:port to listen on")
	return c, func() { listen(addr, platform.New()) }
}
