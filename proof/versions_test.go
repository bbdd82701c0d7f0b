package proof

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/platform"
	"primroseward/standin/runner"
)

const (
	// versionedService is a service whose runners have two software versions; versionedPrefix is the
	// path of its route.
	versionedService = "gen2"
	versionedPrefix  = "/gen2/"
	// versionedEvents is the length of its streams, which last three seconds.
	versionedEvents   = 60
	versionedInterval = 50 * time.Millisecond
	// versionedStreams is the number of streams that callers take up at once.
	versionedStreams = 24
)

// addVersion starts runners of one software version.
func (c *fleetCluster) addVersion(version string, n int) {
	for i := range n {
		c.addRunner(runner.Spec{
			ID: fmt.Sprintf("i-%s-%d", version, i), Service: versionedService, Version: version, DataCentre: []string{"north", "south"}[i%2],
			Slots: 64, Models: []string{"m1"}, Events: versionedEvents, Interval: versionedInterval,
		})
	}
}

// startVersions starts a fleet of n daemons that serves runners of two software versions.
func startVersions(t *testing.T, n int, opts ...func(*fleetCluster)) *fleetCluster {
	t.Helper()
	c := startFirstVersion(t, n, opts...)
	c.addVersion("v2", 2)
	for _, d := range c.daemons {
		c.awaitVersions(d)
	}
	return c
}

// startFirstVersion starts a fleet of n daemons that serves runners of one software version.
func startFirstVersion(t *testing.T, n int, opts ...func(*fleetCluster)) *fleetCluster {
	t.Helper()
	c := startFleet(t, n, opts...)
	config := fleetConfig(2, "/gen/").(map[string]any)
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "gen2", "host": "h.example", "path_prefix": versionedPrefix, "kind": "streaming", "service": versionedService, "timeout_ms": 12000,
		"target_latency_ms": 300, "gap_aim_ms": 150, "max_attempts": 2, "resumable": true, "priority": 1,
	})
	engine := config["services"].([]any)[0].(map[string]any)["engine"]
	config["services"] = append(config["services"].([]any), map[string]any{"name": versionedService, "engine": engine})
	c.put(wire.KindConfig, wire.NameConfig, config)
	c.addVersion("v1", 2)
	return c
}

// awaitVersions waits until a daemon has served streams of both versions.
func (c *fleetCluster) awaitVersions(d *fleetDaemon) {
	c.t.Helper()
	seen := map[string]bool{}
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		s := d.openStream("", "")
		if s.read(1) == nil {
			seen[c.versionOf(s.id)] = true
		}
		s.close()
		if len(seen) < 2 {
			return poll.Continue("%v", seen)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// versionOf returns the software version of the last runner that ran a request, or an empty string.
func (c *fleetCluster) versionOf(id string) string {
	version, at := "", time.Time{}
	for _, r := range c.runners {
		for _, run := range r.Runs() {
			if run.ID == id && run.At.After(at) {
				version, at = r.Version, run.At
			}
		}
	}
	return version
}

// callerStream is a stream that a caller reads event by event.
type callerStream struct {
	id     string // of the request
	conn   net.Conn
	resp   *http.Response
	in     *bufio.Reader
	lastID int
	err    error
}

// openStream requests a stream. resumes and last are the attempt that began it and the last event received;
// empty: it is a new stream.
func (d *fleetDaemon) openStream(resumes, last string) *callerStream {
	s := &callerStream{id: fmt.Sprintf("q%d", requestSerial.Add(1))}
	s.lastID, _ = strconv.Atoi(last)
	if s.conn, s.err = net.DialTimeout("tcp", d.callerAddr, time.Second); s.err != nil {
		return s
	}
	_ = s.conn.SetDeadline(time.Now().Add(12 * time.Second))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: 12000\r\n%s: m1\r\nContent-Length: 0\r\n", versionedPrefix, wire.HeaderRequestID, s.id, wire.HeaderTimeout, wire.HeaderModel)
	if last != "" {
		text += fmt.Sprintf("%s: %s\r\n%s: %s\r\n", core.HeaderResumes, resumes, wire.HeaderLastEvent, last)
	}
	if _, s.err = s.conn.Write([]byte(text + "\r\n")); s.err != nil {
		return s
	}
	if s.resp, s.err = http.ReadResponse(bufio.NewReader(s.conn), nil); s.err == nil {
		s.in = bufio.NewReader(s.resp.Body)
		if s.resp.StatusCode != http.StatusOK {
			s.err = fmt.Errorf("status %d", s.resp.StatusCode)
		}
	}
	return s
}

// read reads events until it has the one with the given id.
func (s *callerStream) read(to int) error {
	for s.err == nil && s.lastID < to {
		var line string
		if line, s.err = s.in.ReadString('\n'); strings.HasPrefix(line, "id: ") {
			id, _ := strconv.Atoi(strings.TrimSpace(line[len("id: "):]))
			if id != s.lastID+1 {
				s.err = fmt.Errorf("event %d follows %d", id, s.lastID)
			}
			s.lastID = id
		}
	}
	return s.err
}

func (s *callerStream) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// takeUp continues a stream at another daemon, as callers do, and reads it to its end.
func (s *callerStream) takeUp(ctx context.Context, d *fleetDaemon) *callerStream {
	for {
		next := d.openStream(s.id, strconv.Itoa(s.lastID))
		if next.err == nil || ctx.Err() != nil {
			_ = next.read(versionedEvents)
			return next
		}
		next.close()
		time.Sleep(100 * time.Millisecond)
	}
}

// takenUp is what became of streams that callers took up.
type takenUp struct {
	wentOn int // to their end
	mixed  int // at another version
}

// takeUpAll opens streams at a daemon, breaks them, and takes each up at one of the others.
func (c *fleetCluster) takeUpAll(t *testing.T, from *fleetDaemon, breakOff func(), to ...*fleetDaemon) takenUp {
	streams := make([]*callerStream, versionedStreams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			streams[i] = from.openStream("", "")
			_ = streams[i].read(2 + i%5)
		})
	}
	wg.Wait()
	for _, s := range streams {
		assert.NilError(t, s.err)
	}
	breakOff()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var mu sync.Mutex
	var out takenUp
	for i, s := range streams {
		wg.Go(func() {
			s.close()
			next := s.takeUp(ctx, to[i%len(to)])
			defer next.close()
			mu.Lock()
			defer mu.Unlock()
			if next.lastID == versionedEvents {
				out.wentOn++
			}
			if v := c.versionOf(next.id); v != "" && v != c.versionOf(s.id) {
				out.mixed++
			}
		})
	}
	wg.Wait()
	t.Logf("of %d streams %d went on to their end, %d at another version", len(streams), out.wentOn, out.mixed)
	return out
}

// TestStreamsGoOnAtTheVersionThatBeganThem guards against streams that callers take up at another daemon
// and that go on at another software version than the one that began them, or do not go on although its
// runners serve.
func TestStreamsGoOnAtTheVersionThatBeganThem(t *testing.T) {
	for _, tt := range []struct {
		name     string
		breakOff func(c *fleetCluster)
		goOn     bool // at least half of them
	}{
		{"callers close", func(*fleetCluster) {}, true},
		{"their daemon is killed", func(c *fleetCluster) { c.daemons[0].kill() }, true},
		{"two of three daemons are killed, one is back", func(c *fleetCluster) {
			c.daemons[0].kill()
			c.daemons[1].restart(c)
		}, true},
		{"the runners of one version leave, all daemons are killed twice", func(c *fleetCluster) {
			for _, r := range c.runners {
				if r.Version == "v1" {
					r.Drain()
				}
			}
			for range 2 {
				for _, d := range c.daemons {
					d.restart(c)
				}
			}
		}, false},
		{"the runners of one version are gone, all daemons are killed", func(c *fleetCluster) {
			for _, r := range c.runners {
				if r.Version == "v1" {
					r.Kill()
					c.deleteObject(wire.KindRunners, r.ID)
				}
			}
			for _, d := range c.daemons {
				d.kill()
			}
			for _, d := range c.daemons {
				d.run(c)
			}
		}, false},
		{"all daemons are killed", func(c *fleetCluster) {
			for _, d := range c.daemons {
				d.restart(c)
			}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := startVersions(t, 3)
			got := c.takeUpAll(t, c.daemons[0], func() { tt.breakOff(c) }, c.daemons[1], c.daemons[2])
			assert.Equal(t, got.mixed, 0)
			assert.Assert(t, !tt.goOn || got.wentOn >= versionedStreams/2)
		})
	}
}

// TestStreamsTakenUpWhileAVersionJoins guards against streams that began at a version that has just joined, and that a daemon
// which is out of step with the others, or with the store, continues at the other version.
func TestStreamsTakenUpWhileAVersionJoins(t *testing.T) {
	const outOfStep = 3 * time.Second
	stopProcess := func(d *fleetDaemon) { _ = d.cmd.Process.Signal(syscall.SIGSTOP) } // fails if it has ended
	goOn := func(d *fleetDaemon) { _ = d.cmd.Process.Signal(syscall.SIGCONT) }
	for _, tt := range []struct {
		name         string
		joins        func(c *fleetCluster, d *fleetDaemon) // before the version joins; d is the daemon out of step
		takenUp      func(c *fleetCluster, d *fleetDaemon) // before streams are taken up there
		afterwards   func(c *fleetCluster, d *fleetDaemon) // outOfStep later
		wantTakenUps bool
	}{
		{"in step", func(*fleetCluster, *fleetDaemon) {}, func(*fleetCluster, *fleetDaemon) {}, func(*fleetCluster, *fleetDaemon) {}, true},
		{
			"frozen while it joins", func(_ *fleetCluster, d *fleetDaemon) { stopProcess(d) },
			func(_ *fleetCluster, d *fleetDaemon) { goOn(d) }, func(*fleetCluster, *fleetDaemon) {}, true,
		},
		{
			"frozen, then cut off from the others", func(_ *fleetCluster, d *fleetDaemon) { stopProcess(d) },
			func(c *fleetCluster, d *fleetDaemon) {
				for _, other := range c.daemons[:2] {
					stopProcess(other)
				}
				goOn(d)
			},
			func(c *fleetCluster, _ *fleetDaemon) {
				for _, other := range c.daemons[:2] {
					goOn(other)
				}
			}, false,
		},
		{
			"frozen, then cut off from the others and the store", func(_ *fleetCluster, d *fleetDaemon) { stopProcess(d) },
			func(c *fleetCluster, d *fleetDaemon) {
				c.store.SetFaults(platform.Faults{Down: true})
				for _, other := range c.daemons[:2] {
					stopProcess(other)
				}
				goOn(d)
			},
			func(c *fleetCluster, _ *fleetDaemon) {
				c.store.SetFaults(platform.Faults{})
				for _, other := range c.daemons[:2] {
					goOn(other)
				}
			}, false,
		},
		{
			"frozen while it asks", func(_ *fleetCluster, d *fleetDaemon) { stopProcess(d) },
			func(c *fleetCluster, d *fleetDaemon) {
				c.store.SetFaults(platform.Faults{Delay: 300})
				goOn(d)
				time.AfterFunc(200*time.Millisecond, func() { stopProcess(d) })
			},
			func(c *fleetCluster, d *fleetDaemon) {
				c.store.SetFaults(platform.Faults{})
				goOn(d)
			}, false,
		},
		{"started again without the store", func(*fleetCluster, *fleetDaemon) {}, func(c *fleetCluster, d *fleetDaemon) {
			c.store.SetFaults(platform.Faults{Down: true})
			d.restart(c)
		}, func(c *fleetCluster, _ *fleetDaemon) { c.store.SetFaults(platform.Faults{}) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFirstVersion(t, 3)
			d := c.daemons[2]
			for _, of := range c.daemons {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					s := of.openStream("", "")
					defer s.close()
					if err := s.read(1); err != nil {
						return poll.Continue("%v", err)
					}
					return poll.Success()
				}, poll.WithTimeout(20*time.Second))
			}
			tt.joins(c, d)
			c.addVersion("v2", 4)
			c.awaitVersions(c.daemons[0])
			got := c.takeUpAll(t, c.daemons[0], func() {
				tt.takenUp(c, d)
				time.AfterFunc(outOfStep, func() { tt.afterwards(c, d) })
			}, d)
			assert.Equal(t, got.mixed, 0)
			assert.Assert(t, !tt.wantTakenUps || got.wentOn >= versionedStreams/2, "%d went on", got.wentOn)
		})
	}
}
