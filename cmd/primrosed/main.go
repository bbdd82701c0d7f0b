// Command primrosed is the daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/platform"
	"primroseward/services/daemon"
	"primroseward/services/fleet"
	"primroseward/setting"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var config string
	var check bool
	flaggy.SetName("primrosed")
	flaggy.SetDescription("serves language models and plain services where the settings tree allows")
	flaggy.SetVersion(core.Version)
	flaggy.String(&config, "c", "config", "settings file (JSON); default: the one that the platform names")
	flaggy.Bool(&check, "", "check", "check the settings file and exit")
	flaggy.Parse()
	if config == "" {
		config = platform.SettingsPath()
	}
	set, err := setting.Load(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if check {
		fmt.Println("settings are good")
		return
	}
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run serves until a signal. The first one begins a graceful stop, a second
// one cuts what is left.
func run(set *setting.Setting) error {
	zc := zap.NewProductionConfig()
	zc.Level = zap.NewAtomicLevelAt(set.Level)
	zc.Sampling = nil
	log, err := zc.Build()
	if err != nil {
		return err
	}
	d, err := newDaemon(set, log)
	if err != nil {
		return err
	}
	first, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Start()
	<-first.Done()
	stop()
	second, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Stop(second)
	return nil
}

// server is a daemon: one that serves through the platform's fleet of runners,
// or one that serves the endpoints of its own settings tree.
type server interface {
	Start()
	Stop(ctx context.Context)
}

func newDaemon(set *setting.Setting, log *zap.Logger) (server, error) {
	if set.Fleet == nil {
		return daemon.New(set, log)
	}
	scope, handler := daemon.NewMetrics()
	return fleet.New(set, log, scope, handler)
}
