package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"primroseward/core"
	"primroseward/standin/engine"
)

func engineCommand() (*flaggy.Subcommand, func()) {
	addr := "127.0.0.1:9001"
	memory := "80GB"
	slots := 8
	fenced := false
	token := 5 * time.Millisecond
	load := 500 * time.Millisecond
	c := flaggy.NewSubcommand("engine")
	c.Description = "a model engine whose answers are a function of the prompt"
	c.String(&addr, "a", "addr", "IP:port to listen on")
	c.String(&memory, "m", "memory", "accelerator memory")
	c.Int(&slots, "s", "slots", "requests served at the same time")
	c.Bool(&fenced, "f", "fenced", "refuse orders with old fencing numbers")
	c.Duration(&token, "t", "token", "time between tokens")
	c.Duration(&load, "l", "load", "time to load a model")
	return c, func() {
		var bytes core.Bytes
		if err := bytes.UnmarshalText([]byte(memory)); err != nil {
			fmt.Fprintln(os.Stderr, "memory:", err)
			os.Exit(1)
		}
		listen(addr, engine.New(engine.Config{Memory: int64(bytes), Slots: slots, Fenced: fenced, TokenInterval: token, LoadTime: load}))
	}
}
