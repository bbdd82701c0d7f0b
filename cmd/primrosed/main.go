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
	"primroseward/services/daemon"
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
	flaggy.String(&config, "c", "config", "settings file (JSON)")
	flaggy.Bool(&check, "", "check", "check the settings file and exit")
	flaggy.Parse()
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
	d, err := daemon.New(set, log)
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
