// Command primrosed is the daemon that runs on each entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/platform"
	"primroseward/services/daemon"
	"primroseward/services/fleet"
	"primroseward/services/observe"
	"primroseward/setting"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	// A signal that the settings have changed ends a process that does not expect it yet.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
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
	if err := run(set, config, hup); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run serves until a signal to stop. The first one begins a graceful stop, a
// second one cuts what is left. SIGHUP reads the settings file again.
func run(set *setting.Setting, config string, hup <-chan os.Signal) error {
	out := logs.NewWriter(os.Stdout, clockwork.NewRealClock())
	defer out.Close()
	log := logs.New(out, set.Level)
	d, err := newDaemon(set, log, out)
	if err != nil {
		return err
	}
	out.Start(log)
	first, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Start()
	for serving := true; serving; {
		select {
		case <-first.Done():
			serving = false
		case <-hup:
			reload(d, config, log)
		}
	}
	stop()
	second, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Stop(second)
	return nil
}

// reload reads the settings file again. One with faults changes nothing.
func reload(d server, config string, log *zap.Logger) {
	set, err := setting.Load(config)
	if err != nil {
		log.Error(logs.NotReloaded, logs.Err(err))
		return
	}
	d.Reload(set)
}

// server is a daemon: one that serves through the platform's fleet of runners,
// or one that serves the endpoints of its own settings tree.
type server interface {
	Start()
	Reload(set *setting.Setting)
	Stop(ctx context.Context)
}

func newDaemon(set *setting.Setting, log *zap.Logger, out *logs.Writer) (server, error) {
	if set.Fleet == nil {
		return daemon.New(set, log)
	}
	metrics := observe.NewMetrics()
	out.Count(metrics.Scope.Counter("log_lines_left_out"))
	return fleet.New(set, log, metrics)
}
