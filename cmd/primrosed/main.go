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
	// Register for SIGHUP first: until then its default action terminates the process.
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

// run serves until SIGTERM or SIGINT. The first of these begins a graceful stop. A further SIGINT aborts the
// remaining requests; a further SIGTERM changes nothing, as the grace time counts from the first. SIGHUP
// reloads the settings file.
func run(set *setting.Setting, config string, hup <-chan os.Signal) error {
	out := logs.NewWriter(os.Stdout, clockwork.NewRealClock())
	defer out.Close()
	log := logs.New(out, set.Level)
	d, err := newDaemon(set, log, out)
	if err != nil {
		return err
	}
	out.StartReports(log)
	set.Limits.SetMemoryLimit()
	graceful, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Start()
	for serving := true; serving; {
		select {
		case <-graceful.Done():
			serving = false
		case <-hup:
			reload(d, config, log)
		}
	}
	// The first registration stays, so that a further SIGTERM does not end the process.
	forced, stopForced := signal.NotifyContext(context.Background(), syscall.SIGINT)
	defer stopForced()
	d.Stop(forced)
	return nil
}

// reload reads the settings file again. If it is invalid, the previous settings stay in
// use.
func reload(d server, config string, log *zap.Logger) {
	set, err := setting.Load(config)
	if err != nil {
		log.Error(logs.NotReloaded, logs.Err(err))
		return
	}
	d.Reload(set)
}

// server is a daemon of either kind: one serves through the platform's fleet of runners,
// the other the endpoints in its own settings tree.
type server interface {
	Start()
	Reload(set *setting.Setting)
	Stop(ctx context.Context)
}

// newDaemon makes the kind of daemon that the settings select.
func newDaemon(set *setting.Setting, log *zap.Logger, out *logs.Writer) (server, error) {
	if set.Fleet == nil {
		return daemon.New(set, log)
	}
	metrics := observe.NewMetrics()
	out.SetCounter(metrics.Scope.Counter("log_lines_left_out"))
	return fleet.New(set, log, metrics)
}
