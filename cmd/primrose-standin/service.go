package main

import (
	"github.com/integrii/flaggy"

	"primroseward/standin/service"
)

func serviceCommand() (*flaggy.Subcommand, func()) {
	addr := "127.0.0.1:9101"
	name := "service"
	c := flaggy.NewSubcommand("service")
	c.Description = "a plain service that counts what reaches it"
	c.String(&addr, "a", "addr", "IP:port to listen on")
	c.String(&name, "n", "name", "name that it signs answers with")
	return c, func() { listen(addr, service.New(name)) }
}
