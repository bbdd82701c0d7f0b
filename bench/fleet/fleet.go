// Package fleet starts daemons as processes on loopback for measurements. The stand-ins for
// the systems around them run in the calling process.
package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	service "primroseward/services/tree"
	"primroseward/standin/platform"
	"primroseward/state/tree"
)

// Daemon is one primrosed process.
type Daemon struct {
	Name       string
	DataCentre string
	Caller     string
	Peer       string
	Admin      string
	cmd        *exec.Cmd
}

// Fleet is a set of daemons with a stand-in platform and further stand-ins.
type Fleet struct {
	Platform     *platform.Server
	Daemons      []*Daemon
	dir          string
	platformAddr string
	servers      []*http.Server
}

// New starts a platform and n daemons, which it assigns to the data centres in turn.
func New(binary string, n int, dataCentres []string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Platform: platform.New(), dir: dir}
	if f.platformAddr, err = f.Serve(f.Platform); err != nil {
		return nil, err
	}
	for i := range n {
		d := &Daemon{Name: fmt.Sprintf("vm-%d", i+1), DataCentre: dataCentres[i%len(dataCentres)]}
		for _, addr := range []*string{&d.Caller, &d.Peer, &d.Admin} {
			if *addr, err = FreePort(); err != nil {
				return nil, err
			}
		}
		f.Daemons = append(f.Daemons, d)
	}
	for _, d := range f.Daemons {
		if err := f.start(binary, d); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Serve serves a stand-in on a loopback port and returns its address.
func (f *Fleet) Serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (f *Fleet) start(binary string, d *Daemon) error {
	file := map[string]any{
		"name": d.Name, "place": d.DataCentre, "caller": d.Caller, "peer": d.Peer, "admin": d.Admin,
		"platform": f.platformAddr, "seeds": []string{f.Daemons[0].Peer, f.Daemons[len(f.Daemons)/2].Peer}, "log": map[string]any{"level": "error"},
	}
	data, err := json.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, d.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	d.cmd = exec.Command(binary, "--config", path)
	d.cmd.Stderr = os.Stderr
	return d.cmd.Start()
}

// Close kills the daemons, stops the stand-ins and removes the settings files.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
			_ = d.cmd.Wait()
		}
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// Call sends a request with a JSON body to a daemon's admin listener. The answer goes into
// out unless that is nil; any status but 200 is an error.
func (d *Daemon) Call(method, path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+d.Admin+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %d %s", method, path, resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(body, out)
}

// WaitUntil polls a condition every 100 ms until it is true, for about a minute at most.
func WaitUntil(ok func() bool) error {
	for range 600 {
		if ok() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("condition not met within a minute")
}

// Apply writes a tree and waits until it is in force at all daemons.
func (f *Fleet) Apply(root *tree.Node) error {
	first := f.Daemons[0]
	if err := WaitUntil(func() bool { return first.Call(http.MethodPost, "/admin/tree", root, nil) == nil }); err != nil {
		return fmt.Errorf("tree: %w", err)
	}
	return WaitUntil(func() bool { return f.InForce() })
}

// InForce reports whether all daemons are members and have the newest settings.
func (f *Fleet) InForce() bool {
	var s service.Status
	err := f.Daemons[0].Call(http.MethodGet, "/admin/status", nil, &s)
	return err == nil && s.InForce && len(s.Members) == len(f.Daemons)
}

// Usage is the processor time and memory that a process has used.
type Usage struct {
	CPU time.Duration
	RSS int64 // bytes
}

const ticksPerSecond = 100 // USER_HZ on Linux

// Usage reads a daemon's processor time and memory from the kernel.
func (d *Daemon) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	// The fields after the command's closing bracket; utime is the 12th.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return Usage{CPU: time.Duration(user+system) * time.Second / ticksPerSecond, RSS: pages * int64(os.Getpagesize())}, nil
}

// Metric returns a counter of a daemon, summed over its labels.
func (d *Daemon) Metric(name string) (float64, error) {
	resp, err := http.Get("http://" + d.Admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	var sum float64
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok && (strings.HasPrefix(rest, " ") || strings.HasPrefix(rest, "{")) {
			parts := strings.Fields(line)
			v, err := strconv.ParseFloat(parts[len(parts)-1], 64)
			if err == nil {
				sum += v
			}
		}
	}
	return sum, nil
}
