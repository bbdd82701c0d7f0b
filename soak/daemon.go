package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"primroseward/bench/fleet"
)

// noExitPause disables the second that a program built with the race detector sleeps before it
// exits, which is no part of a daemon's grace time.
const noExitPause = "GORACE=atexit_sleep_ms=0"

// daemon is one VM with its primrosed process, which is replaced by a new one after it has
// exited. Callers and the daemon's connections to the store each have a proxy.
type daemon struct {
	w                                     *World
	name, dataCentre                      string
	caller, peer, ready, directory, admin string
	callerProxy, storeProxy               *Proxy // in front of its address for callers, and between it and the store
	configFile, logFile                   string

	startMu sync.Mutex // held while a process is started again

	mu                sync.Mutex
	cmd               *exec.Cmd
	done              chan struct{}
	processStart      time.Time // when the process was started
	stopSignalledAt   time.Time // when SIGTERM was sent; zero: it was not
	exitExpected      bool      // the harness has sent a signal that ends the process
	frozen            bool
	resumedAt         time.Time // when it was last resumed with SIGCONT after SIGSTOP
	impairedIntervals []interval
}

func newDaemon(w *World, name, dataCentre string) (*daemon, error) {
	d := &daemon{w: w, name: name, dataCentre: dataCentre, configFile: filepath.Join(w.opts.Dir, name+".json"), logFile: filepath.Join(w.opts.Dir, name+".log")}
	for _, addr := range []*string{&d.caller, &d.peer, &d.ready, &d.directory, &d.admin} {
		var err error
		if *addr, err = fleet.FreePort(); err != nil {
			return nil, err
		}
	}
	var err error
	if d.callerProxy, err = NewProxy(d.caller); err != nil {
		return nil, err
	}
	if d.storeProxy, err = NewProxy(w.storeAddr); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name":%q,"place":%q,"caller":%q,"peer":%q,"admin":%q,"platform":%q,"limits":{"platform":100},"fleet":{%s"ready":%q,"directory":%q,
"keep":%q,"grace":%q,"lease":%q,"ratio":%v,"slack":%v,"window":%q,
"quota":{"window":%q,"over":%v,"slack":%v}}}`,
		name, dataCentre, d.caller, d.peer, d.admin, d.storeProxy.Addr(), w.balanceSetting(), d.ready, d.directory, addressTTL, stopGrace, lease, retryBudget.Ratio, retryBudget.Slack, retryBudget.Length.String(), quotaWindow, quotaTolerance, quotaSlack)
	return d, os.WriteFile(d.configFile, []byte(text), 0o600)
}

// start starts a process. The caller must make sure that none is running.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.w.opts.Binary, "--config", d.configFile)
	cmd.Env = append(os.Environ(), noExitPause)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.done, d.processStart, d.stopSignalledAt, d.exitExpected, d.frozen = cmd, make(chan struct{}), time.Now(), time.Time{}, false, false
	go d.watchExit(cmd, d.done)
	return nil
}

// watchExit waits for a process to exit, and reports a violation if the harness had sent it no
// signal to end.
func (d *daemon) watchExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	expected := d.exitExpected
	d.mu.Unlock()
	if !expected {
		d.w.reportViolation("%s exited by itself: %v", d.name, err)
	}
	close(done)
}

// signal sends a signal to the current process, and returns a channel that is closed when the
// process has exited.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.exitExpected = true
	}
	if s == syscall.SIGTERM {
		d.stopSignalledAt = time.Now()
	}
	if d.frozen && s == syscall.SIGCONT {
		d.resumedAt = time.Now()
	}
	d.frozen = s == syscall.SIGSTOP || d.frozen && s != syscall.SIGCONT
	_ = d.cmd.Process.Signal(s) // fails only on a process that has exited
	return d.done
}

// kill sends SIGKILL to the process, frozen or not, and waits until it has exited.
func (d *daemon) kill() {
	d.w.noteBreakage(d, nil, 0, 0)
	<-d.signal(syscall.SIGKILL)
	d.w.noteBreakage(d, nil, 0, 0) // its connections break off no earlier than it exits
}

// restart starts a new process if none is running.
func (d *daemon) restart() {
	d.startMu.Lock()
	defer d.startMu.Unlock()
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
	default:
		return
	}
	if err := d.start(); err != nil {
		d.w.reportViolation("%s did not start: %v", d.name, err)
	}
}

// stop sends SIGTERM to the process, and kills it after the grace time, as the platform
// does.
func (d *daemon) stop() {
	d.w.noteBreakage(d, nil, stopGrace-graceLeft, graceLeft)
	select {
	case <-d.signal(syscall.SIGTERM):
	case <-time.After(stopGrace):
		d.mu.Lock()
		frozen := d.frozen
		d.mu.Unlock()
		if !frozen {
			d.w.reportViolation("%s did not exit within its grace time", d.name)
		}
		d.kill()
	}
}

func (d *daemon) close() {
	d.callerProxy.Close()
	d.storeProxy.Close()
}
