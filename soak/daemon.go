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

// daemon is one VM with its primrosed process, which is replaced by a new one when it
// ends. It reaches the store through a proxy of its own.
type daemon struct {
	w                                     *World
	name, place                           string
	caller, peer, ready, directory, admin string
	front, store                          *Proxy // to its callers' address, and of its way to the store
	file, log                             string

	life sync.Mutex // one start at a time

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	began   time.Time // of the process
	stopped time.Time // when it was told to stop; zero: it was not
	wanted  bool      // an end is no fault of the process
	frozen  bool
	thawed  time.Time // when it last went on after it stood still
	harms   []span
}

func newDaemon(w *World, name, place string) (*daemon, error) {
	d := &daemon{w: w, name: name, place: place, file: filepath.Join(w.opts.Dir, name+".json"), log: filepath.Join(w.opts.Dir, name+".log")}
	for _, addr := range []*string{&d.caller, &d.peer, &d.ready, &d.directory, &d.admin} {
		var err error
		if *addr, err = fleet.FreePort(); err != nil {
			return nil, err
		}
	}
	var err error
	if d.front, err = NewProxy(d.caller); err != nil {
		return nil, err
	}
	if d.store, err = NewProxy(w.storeAt); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{"name":%q,"place":%q,"caller":%q,"peer":%q,"admin":%q,"platform":%q,"limits":{"platform":100},"fleet":{"ready":%q,"directory":%q,
"keep":%q,"grace":%q,"lease":%q,"ratio":0.2,"slack":60,"window":"10s",
"quota":{"window":%q,"over":%v,"slack":%v}}}`,
		name, place, d.caller, d.peer, d.admin, d.store.Addr(), d.ready, d.directory, keep, grace, lease, quotaWindow, quotaOver, quotaSlack)
	return d, os.WriteFile(d.file, []byte(text), 0o600)
}

// start runs a process; the caller has seen to it that none runs.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.w.opts.Binary, "--config", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.done, d.began, d.stopped, d.wanted, d.frozen = cmd, make(chan struct{}), time.Now(), time.Time{}, false, false
	go d.runWait(cmd, d.done)
	return nil
}

// runWait notes a process that ends by itself: nobody may have asked it to.
func (d *daemon) runWait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	d.mu.Lock()
	wanted := d.wanted
	d.mu.Unlock()
	if !wanted {
		d.w.note("%s ended by itself: %v", d.name, err)
	}
	close(done)
}

// signal sends a signal to the process that runs now, and returns what is closed at its
// end.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.wanted = true
	}
	if s == syscall.SIGTERM {
		d.stopped = time.Now()
	}
	if d.frozen && s == syscall.SIGCONT {
		d.thawed = time.Now()
	}
	d.frozen = s == syscall.SIGSTOP || d.frozen && s != syscall.SIGCONT
	_ = d.cmd.Process.Signal(s) // one that has ended needs none
	return d.done
}

// kill ends the process at once, frozen or not, and waits for it.
func (d *daemon) kill() {
	<-d.signal(syscall.SIGKILL)
}

// restart starts a new process where none runs.
func (d *daemon) restart() {
	d.life.Lock()
	defer d.life.Unlock()
	d.mu.Lock()
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
	default:
		return
	}
	if err := d.start(); err != nil {
		d.w.note("%s does not start: %v", d.name, err)
	}
}

// stop asks the process to end, and kills it after the grace time, as the platform
// does.
func (d *daemon) stop() {
	select {
	case <-d.signal(syscall.SIGTERM):
	case <-time.After(grace):
		d.mu.Lock()
		frozen := d.frozen
		d.mu.Unlock()
		if !frozen {
			d.w.note("%s has not ended after its grace time", d.name)
		}
		d.kill()
	}
}

func (d *daemon) close() {
	d.front.Close()
	d.store.Close()
}
