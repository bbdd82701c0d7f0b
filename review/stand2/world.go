package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"primroseward/bench/fleet"
	wire "primroseward/platform"
	"primroseward/standin/platform"
)

// readyTimeout bounds the wait until daemons are ready.
const readyTimeout = 15 * time.Second

// errNotReady: a daemon was not ready in time.
var errNotReady = errors.New("a daemon is not ready")

// world is the platform's store, the daemons and the runners of one case.
type world struct {
	binary, dir string
	began       time.Time
	store       *platform.Server
	storeAddr   string

	mu       sync.Mutex
	record   io.Writer
	daemons  []*daemon
	cleanups []func()
}

// daemon is one process of the system.
type daemon struct {
	name, zone                            string
	caller, peer, ready, directory, admin string
	config                                string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
}

func newWorld(binary, dir string, record io.Writer) *world {
	return &world{binary: binary, dir: dir, began: time.Now(), record: record}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// startStore starts the platform's store.
func (w *world) startStore() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.store, w.storeAddr = platform.New(), ln.Addr().String()
	srv := &http.Server{Handler: w.store}
	go func() { _ = srv.Serve(ln) }()
	w.cleanups = append(w.cleanups, func() { _ = srv.Close() })
	return nil
}

// setConfig stores a configuration as the operator does.
func (w *world) setConfig(c wire.ConfigMessage) error {
	w.note("operator: config version %d", c.Version)
	return w.store.Put(wire.KindConfig, wire.NameConfig, c)
}

// addDaemon starts a daemon with the settings that deploy/primrosed.json gives it in a small deployment.
func (w *world) addDaemon(name, zone string) (*daemon, error) {
	d := &daemon{name: name, zone: zone, config: filepath.Join(w.dir, name+".json")}
	for _, addr := range []*string{&d.caller, &d.peer, &d.ready, &d.directory, &d.admin} {
		var err error
		if *addr, err = fleet.FreePort(); err != nil {
			return nil, err
		}
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "place": zone, "caller": d.caller, "peer": d.peer, "admin": d.admin, "platform": w.storeAddr,
		"log":    map[string]any{"level": "info"},
		"limits": map[string]any{"platform": 100, "cores": 0.4, "descriptors": 4100, "memory": "284MB"},
		"fleet":  map[string]any{"ready": d.ready, "directory": d.directory, "keep": "2s", "grace": "8s", "lease": "3000ms", "ratio": 0.2, "slack": 56, "window": "10s"},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.config, text, 0o600); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, w.startProcess(d)
}

// addDaemons starts a daemon in each of the zones and waits until all are ready.
func (w *world) addDaemons(zones []string) ([]*daemon, error) {
	var out []*daemon
	count := map[string]int{}
	for _, zone := range zones {
		count[zone]++
		d, err := w.addDaemon(fmt.Sprintf("front-%s-%d", zone, count[zone]), zone)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	for _, d := range out {
		if err := w.awaitReady(d); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// startProcess starts the process of a daemon with the command of the deploy file.
func (w *world) startProcess(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(w.binary)
	cmd.Env = []string{"PRIMROSEWARD_NODE_FILE=" + d.config}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	w.note("daemon %s started, process %d", d.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the signal that ended it
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of a daemon.
func (w *world) signal(d *daemon, s syscall.Signal) {
	w.note("daemon %s gets signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s) // fails only if it has exited
}

// awaitReady waits until a daemon is ready.
func (w *world) awaitReady(d *daemon) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + wire.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// close ends all that the case has started, and keeps the logs where STAND2_LOGS says.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	for _, fn := range w.cleanups {
		fn()
	}
	if to := os.Getenv("STAND2_LOGS"); to != "" {
		logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log")) // the pattern is valid
		for _, l := range logs {
			data, err := os.ReadFile(l)
			if err == nil {
				_ = os.WriteFile(filepath.Join(to, filepath.Base(l)), data, 0o600)
			}
		}
	}
}
