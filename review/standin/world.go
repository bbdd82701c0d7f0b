package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The services and models of the deployment, and where its machines are.
const (
	host       = "api.example"
	engines    = "lm-pool"
	plain      = "lookup-api"
	draftPath  = "/draft/"
	whoisPath  = "/whois/"
	readyTries = 200
	readyPause = 100 * time.Millisecond
)

// zones are those of the daemons of mtkvari-reg, in order.
var zones = []string{"vake", "vake", "vake", "saburtalo", "saburtalo", "saburtalo", "didube", "isani"}

// daemon is one primrosed process.
type daemon struct {
	name, caller, ready, directory, file string
	cmd                                  *exec.Cmd
}

// server is one runner process.
type server struct {
	id, addr string
	cmd      *exec.Cmd
}

// world is a deployment: the store in this process, and daemons and runners as processes of their own.
type world struct {
	root, dir string
	trouble   bool
	store     *store
	storeAddr string
	daemons   []*daemon
	servers   []*server

	starts sync.Mutex // held while a daemon is started or all are killed
	mu     sync.Mutex
	log    *os.File
	began  time.Time
	reads  sync.WaitGroup
	number int
	port   int // the last one given out
	closed bool
	// line is called with each line of a runner.
	line func(s *server, text string)
}

// newWorld starts a store. The record goes into the folder that RECORD names.
func newWorld() (*world, error) {
	w := &world{root: os.Getenv("ROOT"), trouble: os.Getenv("TROUBLE") != "0", store: newStore(), began: time.Now(), line: func(*server, string) {}}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if w.log, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }()
	w.record("case", fmt.Sprintf("trouble=%t", w.trouble))
	return w, nil
}

// record writes a line to the record, with the seconds since the start.
func (w *world) record(who, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, "%8.3f %s %s\n", time.Since(w.began).Seconds(), who, what)
}

// close ends all processes.
func (w *world) close() {
	w.killAll()
	w.reads.Wait()
	_ = w.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// killAll kills all processes.
func (w *world) killAll() {
	w.starts.Lock()
	defer w.starts.Unlock()
	w.closed = true
	for _, d := range w.daemons {
		kill(d.cmd)
	}
	for _, s := range w.servers {
		kill(s.cmd)
	}
}

// kill ends a process and waits for its end.
func kill(cmd *exec.Cmd) {
	if cmd != nil && cmd.ProcessState == nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Ports are taken from below those that the system gives to outgoing connections.
const (
	firstPort = 18000
	lastPort  = 32000
)

// freeAddr returns a loopback address on which nothing listens, another one at each call.
func (w *world) freeAddr() (string, error) {
	for range lastPort - firstPort {
		if w.port++; w.port < firstPort || w.port >= lastPort {
			w.port = firstPort + rand.IntN(lastPort-firstPort)
		}
		addr := fmt.Sprintf("127.0.0.1:%d", w.port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", addr)
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return addr, nil
		}
	}
	return "", errors.New("no port is free")
}

// putConfig writes the first configuration: one route to engines and one to a plain service.
func (w *world) putConfig(adapters int) {
	model := map[string]any{"name": "m0", "weights_mb": 65100, "load_s": 3.8, "adapters": adapters, "adapter_mb": 12, "warm_s": 0.6, "disk_s": 0.78}
	w.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-draft", "host": host, "path_prefix": draftPath, "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300,
				"priority": 1, "service": engines, "max_attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 150,
			},
			map[string]any{
				"name": "r-whois", "host": host, "path_prefix": whoisPath, "kind": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300,
				"priority": 2, "service": plain, "max_attempts": 1,
			},
		},
		"services": []any{
			map[string]any{"name": engines, "health_path": "/health", "max_connections": 240, "engine": map[string]any{
				"slots": 32, "kv_capacity": 100433, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 1.9, "models": []any{model},
			}},
			map[string]any{"name": plain, "health_path": "/health", "max_connections": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startServer starts a runner and copies its lines to the record.
func (w *world) startServer(id, service, zone string, args ...string) (*server, error) {
	w.starts.Lock()
	defer w.starts.Unlock()
	if w.closed {
		return nil, errors.New("the case is at its end")
	}
	addr, err := w.freeAddr()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &server{id: id, addr: addr}
	s.cmd = exec.Command(self, append([]string{"runner", "-id", id, "-service", service, "-zone", zone, "-addr", addr, "-store", w.storeAddr}, args...)...)
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	w.servers = append(w.servers, s)
	w.reads.Add(1)
	go func() {
		defer w.reads.Done()
		for lines := bufio.NewScanner(out); lines.Scan(); {
			w.record("runner", lines.Text())
			w.line(s, lines.Text())
		}
	}()
	return s, nil
}

// startDaemons starts daemons as the deploy file says, and waits until all are ready.
func (w *world) startDaemons(n int) error {
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i], i+1), file: filepath.Join(w.dir, fmt.Sprintf("node-%d.json", i+1))}
		if err := w.writeSettings(d, zones[i]); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := w.startDaemon(d); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes what deploy/primrosed.json makes of the settings of a machine of mtkvari-reg.
func (w *world) writeSettings(d *daemon, zone string) error {
	var peer, admin string
	for _, addr := range []*string{&d.caller, &d.ready, &d.directory, &peer, &admin} {
		var err error
		if *addr, err = w.freeAddr(); err != nil {
			return err
		}
	}
	body, err := json.MarshalIndent(map[string]any{
		"name": d.name, "place": zone, "caller": d.caller, "peer": peer, "admin": admin, "platform": w.storeAddr,
		"log": map[string]any{"level": "info"}, "limits": map[string]any{"platform": 100, "cores": 0.4},
		"fleet": map[string]any{
			"ready": d.ready, "directory": d.directory, "keep": "2s", "grace": "8s", "lease": "3000ms", "ratio": 0.2, "slack": 56, "window": "10s",
		},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.file, body, 0o600)
}

// startDaemon starts a daemon's process, unless the case is at its end.
func (w *world) startDaemon(d *daemon) error {
	w.starts.Lock()
	defer w.starts.Unlock()
	if w.closed {
		return errors.New("the case is at its end")
	}
	out, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	d.cmd = exec.Command(filepath.Join(w.root, "target", "primrosed"))
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = w.root, out, out
	d.cmd.Env = append(os.Environ(), "PRIMROSEWARD_NODE_FILE="+d.file)
	w.record(d.name, "starts")
	return d.cmd.Start()
}

// awaitReady waits until a daemon is ready.
func (d *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range readyTries {
		if resp, err := client.Get("http://" + d.ready + "/v1/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPause)
	}
	return fmt.Errorf("%s did not become ready", d.name)
}

// newID returns a request id of its own.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	return fmt.Sprintf("%016x", 0x1c41d07be2a30000+w.number)
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error // nil: the answer looked complete
	stamp  string
}

// send makes one request on a new connection.
func (w *world) send(d *daemon, id, path, model string, timeout time.Duration, body io.Reader, parts ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.caller+path, body)
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	q.Header.Set("X-Primroseward-Request-Id", id)
	q.Header.Set("X-Primroseward-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if model != "" {
		q.Header.Set("X-Primroseward-Model", model)
		q.Header.Set("X-Primroseward-Token-Counts", "715,282")
		if len(parts) > 0 {
			q.Header.Set("X-Primroseward-Prompt-Prefix", strings.Join(parts, ","))
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w.record("client", fmt.Sprintf("sends %s %s to %s", id, path, d.name))
	resp, err := client.Do(q)
	if err != nil {
		w.record("client", fmt.Sprintf("gets %s no answer: %v", id, err))
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), err: err, stamp: resp.Header.Get("X-Primroseward-Server-Stamp")}
}

// lastEvent returns the id of the last event of a stream, and whether all before it are there once each.
func lastEvent(body string) (last int, inOrder bool) {
	inOrder = true
	for line := range strings.Lines(body) {
		var n int
		if c, _ := fmt.Sscanf(line, "id: %d", &n); c == 1 {
			inOrder = inOrder && n == last+1
			last = n
		}
	}
	return last, inOrder
}
