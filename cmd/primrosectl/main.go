// Command primrosectl is the operators' command-line client.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"primroseward/core"
)

// Exit codes, as docs/OPERATIONS.md lists them.
const (
	exitFailed      = 1 // anything else
	exitUsage       = 2
	exitRefused     = 3 // the settings are refused
	exitConflict    = 4 // another edit was made first
	exitNotFound    = 5
	exitUnavailable = 6 // the daemon or the platform does not answer
	exitLagging     = 7 // accepted, but not yet in force everywhere
)

// globals are the flags that all subcommands share.
type globals struct {
	admin string
	store string
	token string
	json  bool
	by    string
}

// command is a subcommand and the function that runs it.
type command struct {
	*flaggy.Subcommand
	run func(*client) error
}

func main() {
	g := &globals{admin: "127.0.0.1:7201", token: os.Getenv("PRIMROSE_TOKEN"), by: os.Getenv("USER")}
	flaggy.SetName("primrosectl")
	flaggy.SetDescription("edits the settings tree and shows the settings in force")
	flaggy.SetVersion(core.Version)
	flaggy.String(&g.admin, "a", "admin", "a daemon's admin address, IP:port")
	flaggy.String(&g.store, "", "store", "the platform's store, IP:port; edits the tree there, for daemons that accept no edits")
	flaggy.String(&g.token, "", "token", "operators' token; PRIMROSE_TOKEN by default")
	flaggy.String(&g.by, "", "by", "name that edits are logged under")
	flaggy.Bool(&g.json, "j", "json", "print JSON")
	commands := []command{treeCommand(), statusCommand(), runnersCommand(), holdsCommand(), workspacesCommand(), limitsCommand(), movesCommand(), requestsCommand(), followCommand(), lossesCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.Subcommand, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.Used {
			exit(run(c, g))
		}
	}
	flaggy.ShowHelpAndExit("name a command")
}

func run(c command, g *globals) error {
	client, err := newClient(g)
	if err != nil {
		return err
	}
	return c.run(client)
}

func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}
