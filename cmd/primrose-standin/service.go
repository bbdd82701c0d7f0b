package main

import (
	"github.com/integrii/flaggy"

	"primroseward/standin/service"
)

func serviceCommand() (*flaggy.Subcommand, func()) {
	addr := "127.0.0.1:9101"
	name := "service"
	c := flaggy.NewSubcommand("service")
	c.Description = "a plain service that counts the requests it receives"
	c.String(&addr, "a", "addr", "IP:port to listen on")
	c.String(&name, "n", "name", "name of the service, included in its answers")
	return c, func() { listen(addr, service.New(name)) }
}
