// Command primrose-standin runs stand-ins, for tests and the demo, for the systems around
// primroseward: the platform's object API, a model engine and a plain service.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"primroseward/core"
)

func main() {
	flaggy.SetName("primrose-standin")
	flaggy.SetDescription("stand-ins for tests and the demo")
	flaggy.SetVersion(core.Version)
	platform, runPlatform := platformCommand()
	engine, runEngine := engineCommand()
	service, runService := serviceCommand()
	for _, c := range []*flaggy.Subcommand{platform, engine, service} {
		flaggy.AttachSubcommand(c, 1)
	}
	flaggy.Parse()
	switch {
	case platform.Used:
		runPlatform()
	case engine.Used:
		runEngine()
	case service.Used:
		runService()
	default:
		flaggy.ShowHelpAndExit("missing stand-in: platform, engine or service")
	}
}

// listen serves h on addr until the process is stopped, and exits with 1 if it cannot.
func listen(addr string, h http.Handler) {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	if err := s.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
