package proof

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	"primroseward/io/logs"
	wire "primroseward/platform"
	"primroseward/standin/runner"
)

const (
	longGrace = 8 * time.Second
	// keptCallers return to their connections after random times, of which meanIdle is the mean and maxIdle
	// the maximum. goneCallers never return.
	keptCallers = 400
	// servedWithin is how long callers try to be served before the daemon stops.
	servedWithin = 10 * time.Second
	goneCallers  = 5
	meanIdle     = time.Second
	maxIdle      = 6 * time.Second
	// crossing is how long after the end of a connection a caller does not know of it yet.
	crossing = 50 * time.Millisecond
	// streamsOf is the number of callers of which one requests a stream.
	streamsOf = 10
)

// setGrace changes the grace time of a running daemon.
func (d *fleetDaemon) setGrace(t *testing.T, grace time.Duration) {
	t.Helper()
	data, err := os.ReadFile(d.file)
	assert.NilError(t, err)
	data = bytes.Replace(data, []byte(fmt.Sprintf(`"grace":%q`, gracePeriod.String())), []byte(fmt.Sprintf(`"grace":%q`, grace.String())), 1)
	assert.NilError(t, os.WriteFile(d.file, data, 0o600))
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGHUP))
	d.awaitLog(t, logs.Reloaded)
}

// awaitLog waits until the daemon's log contains a message.
func (d *fleetDaemon) awaitLog(t *testing.T, message string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		data, err := os.ReadFile(d.log)
		if err != nil || !bytes.Contains(data, []byte(`"`+message+`"`)) {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// keptConn is a connection that its caller keeps open between requests.
type keptConn struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialKept(d *fleetDaemon) (*keptConn, error) {
	conn, err := net.Dial("tcp", d.callerAddr)
	if err != nil {
		return nil, err
	}
	return &keptConn{conn: conn, in: bufio.NewReader(conn)}, nil
}

// post sends a request.
func (k *keptConn) post(path, model string) error {
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: q%d\r\n%s: 4000\r\nContent-Length: 0\r\n", path, wire.HeaderRequestID, requestSerial.Add(1), wire.HeaderTimeout)
	if model != "" {
		text += wire.HeaderModel + ": " + model + "\r\n"
	}
	_, err := io.WriteString(k.conn, text+"\r\n")
	return err
}

// answer reads an answer.
func (k *keptConn) answer() (*http.Response, string, error) {
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// postUntilServed sends a request again when it is told to, as long as it has not run. The runners have few slots, and
// many callers that begin at once on a busy machine are refused.
func (k *keptConn) postUntilServed(path string) (*http.Response, error) {
	for end := time.Now().Add(servedWithin); ; {
		if err := k.post(path, ""); err != nil {
			return nil, err
		}
		resp, body, err := k.answer()
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(core.OutcomeNotRun)) || time.Now().After(end) {
			return resp, err
		}
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			return resp, err
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
}

// Ends of a request that a caller sends on a kept connection of a daemon that stops.
const (
	endWhole   = "whole"
	endRefused = "refused"
	endClosed  = "closed before the request"
	endLost    = "without an answer"
)

// sendAfter waits, sends one request and returns how it ends.
func (k *keptConn) sendAfter(wait time.Duration, path, model, want string) string {
	sendAt := time.Now().Add(wait)
	_ = k.conn.SetReadDeadline(sendAt)
	if _, err := k.in.Peek(1); err == nil || !os.IsTimeout(err) {
		if time.Until(sendAt) > crossing {
			return endClosed
		}
		return endLost // the request would have been on its way
	}
	_ = k.conn.SetReadDeadline(time.Time{})
	if err := k.post(path, model); err != nil {
		return endLost
	}
	resp, body, err := k.answer()
	if err != nil {
		return endLost
	}
	return endOf(resp.StatusCode, body, want)
}

// endOf returns how a request has ended that was answered. want is the body of a whole answer, if it matters.
func endOf(status int, body, want string) string {
	switch {
	case status == http.StatusOK && (want == "" || body == want):
		return endWhole
	case status == http.StatusServiceUnavailable && strings.Contains(body, string(core.OutcomeNotRun)):
		return endRefused
	}
	return fmt.Sprint("status ", status, " ", body)
}

// kindOf returns the path, the model and the whole answer's body, if it matters, of the nth request of all kinds in turn.
func kindOf(n int, stream string) (path, model, want string) {
	switch n % 3 {
	case 0:
		return "/ask/x", "", ""
	case 1:
		return "/order/x", "", ""
	}
	return "/gen/x", "m1", stream
}

// TestStopAnswersOnKeptConnections guards against requests that cross the end of their kept connection: a
// stopping daemon closed all idle ones at once. Callers that return within the grace time get an answer,
// and those that never return don't keep the process beyond its grace time.
func TestStopAnswersOnKeptConnections(t *testing.T) {
	c := startFleet(t, 2)
	d := c.daemons[0]
	d.setGrace(t, longGrace)
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	ends := map[string]int{}
	var ready, done sync.WaitGroup
	stop := make(chan struct{})
	for i := range keptCallers + goneCallers {
		wait := min(time.Duration(random.ExpFloat64()*float64(meanIdle)), maxIdle)
		start := time.Duration(random.Float64() * float64(time.Second))
		ready.Add(1)
		done.Go(func() {
			time.Sleep(start)
			k, err := dialKept(d)
			if !assert.Check(t, err) {
				ready.Done()
				return
			}
			defer k.conn.Close()
			resp, err := k.postUntilServed("/ask/x")
			assert.Check(t, err == nil && resp.StatusCode == http.StatusOK && !resp.Close, "%v %v", err, resp)
			ready.Done()
			<-stop
			if i >= keptCallers {
				_ = k.conn.SetReadDeadline(time.Now().Add(2 * longGrace))
				_, _ = k.in.Peek(1) // the end of the connection
				return
			}
			path, model, want := "/ask/x", "", ""
			if i%streamsOf == 0 {
				path, model, want = "/gen/x", "m1", fullStream(20)
			}
			end := k.sendAfter(wait, path, model, want)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	ready.Wait()
	close(stop)
	began := time.Now()
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(longGrace, func() { _ = d.cmd.Process.Kill() })
	defer kill.Stop()
	state, err := d.cmd.Process.Wait()
	assert.NilError(t, err)
	took := time.Since(began)
	done.Wait()
	t.Logf("the process ended after %v; requests: %v", took.Round(10*time.Millisecond), ends)
	assert.Assert(t, state.Success(), "%v", state)
	assert.Equal(t, ends[endWhole]+ends[endRefused], keptCallers, "%v", ends)
}

// TestStopEndsWithItsLastConnection guards against a stopping daemon that waits for the end of its grace time
// although no caller is connected any more.
func TestStopEndsWithItsLastConnection(t *testing.T) {
	c := startFleet(t, 1)
	d := c.daemons[0]
	const grace = time.Minute
	d.setGrace(t, grace)
	k, err := dialKept(d)
	assert.NilError(t, err)
	defer k.conn.Close()
	assert.NilError(t, k.post("/ask/x", ""))
	_, _, err = k.answer()
	assert.NilError(t, err)
	began := time.Now()
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, k.sendAfter(4*time.Second, "/ask/x", "", ""), endWhole)
	state, err := d.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%v", state)
	assert.Assert(t, time.Since(began) < grace/2, "%v", time.Since(began))
}

// TestStopAnswersWaitingRequests guards against requests that still wait at the end of the grace time and whose
// connection is closed without an answer.
func TestStopAnswersWaitingRequests(t *testing.T) {
	for _, tt := range []struct {
		name  string
		delay time.Duration // between the requests and the signal
	}{
		{"requests that arrive with the signal", 0},
		{"requests that have begun", 200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) { testStopAnswersWaitingRequests(t, tt.delay) })
	}
}

func testStopAnswersWaitingRequests(t *testing.T, delay time.Duration) {
	t.Helper()
	c := startFleet(t, 1)
	d := c.daemons[0]
	for _, r := range c.runners[2:] {
		r.Silence(2 * gracePeriod)
	}
	cases := []struct {
		name, path, body string
		status           int
		outcome          core.Outcome
	}{
		{"at a silent runner", "/order/x", "abc", http.StatusBadGateway, core.OutcomeMayHaveRun},
		{"whose body is slow", "/order/x", "a", http.StatusServiceUnavailable, core.OutcomeNotRun},
	}
	conns := make([]*keptConn, len(cases))
	for i, tt := range cases {
		var err error
		conns[i], err = dialKept(d)
		assert.NilError(t, err)
		defer conns[i].conn.Close()
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: q%d\r\nContent-Length: 3\r\n\r\n%s", tt.path, wire.HeaderRequestID, requestSerial.Add(1), tt.body)
		_, err = io.WriteString(conns[i].conn, text)
		assert.NilError(t, err)
	}
	time.Sleep(delay)
	assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(gracePeriod, func() { _ = d.cmd.Process.Kill() })
	defer kill.Stop()
	for i, tt := range cases {
		resp, body, err := conns[i].answer()
		if !assert.Check(t, err, tt.name) {
			continue
		}
		assert.Check(t, resp.StatusCode == tt.status, "%s: %d %s", tt.name, resp.StatusCode, body)
		assert.Check(t, strings.Contains(body, `"`+string(tt.outcome)+`"`), "%s: %s", tt.name, body)
	}
	state, err := d.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%v", state)
}

// TestSecondStopSignalCutsNothing guards against requests that are cut because the platform sends SIGTERM again
// while the daemon is leaving.
func TestSecondStopSignalCutsNothing(t *testing.T) {
	c := startFleet(t, 1, func(c *fleetCluster) { c.events = 100 })
	d := c.daemons[0]
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			status, body, err := d.send("/gen/x", "", "m1")
			assert.Check(t, err)
			assert.Check(t, status == http.StatusOK && strings.HasSuffix(body, fullStream(100)), "status %d, %d bytes", status, len(body))
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.runsOf("gen") < 4 {
			return poll.Continue("not all run yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	for range 5 {
		assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	state, err := d.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), state.String())
}

// TestStopOfADaemonThatOthersForwardTo guards against requests that a daemon without a path passes on to one that is stopped
// in order, and that are cut or lost with it while another one has a path.
func TestStopOfADaemonThatOthersForwardTo(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		during   = 2 * gracePeriod
	)
	c := startForwardingFleet(t, 3)
	var mu sync.Mutex
	ends := map[string]int{}
	var wg sync.WaitGroup
	leaving := c.daemons[2] // it is preferred, as it is in the same data centre
	stop := time.AfterFunc(time.Second, func() { _ = leaving.cmd.Process.Signal(syscall.SIGTERM) })
	defer stop.Stop()
	for i, end := 0, time.Now().Add(during); time.Now().Before(end); i++ {
		path, model, want := kindOf(i, fullStream(longEvents))
		wg.Go(func() {
			status, body, err := c.daemons[0].send(path, "", model)
			end := endLost
			if err == nil {
				end = endOf(status, body, want)
			}
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
		time.Sleep(interval)
	}
	wg.Wait()
	t.Log(ends)
	assert.Equal(t, ends[endWhole]+ends[endRefused], int(during/interval), "%v", ends)
	assert.Assert(t, ends[endWhole] > 0)
}

// TestLateRequestsOfAStop guards against requests that reach a stopping daemon late in its grace time, on kept and on new
// connections, and that are passed on to a runner and cut without an answer.
func TestLateRequestsOfAStop(t *testing.T) {
	const interval = 50 * time.Millisecond
	const callerTime = 4 * time.Second // that a request has; what ends later has reached its limit
	large := strings.Repeat("x", 900<<10)
	signals := func(d *fleetDaemon, list ...syscall.Signal) {
		for _, s := range list {
			time.Sleep(gracePeriod / 5)
			_ = d.cmd.Process.Signal(s) // fails if it has ended
		}
	}
	for _, tt := range []struct {
		name  string
		body  string
		grace func(d *fleetDaemon)
	}{
		{"nothing beside it", "", func(*fleetDaemon) {}},
		{"large bodies", large, func(*fleetDaemon) {}},
		{"signals again", "", func(d *fleetDaemon) { signals(d, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP) }},
		{"a pause", "", func(d *fleetDaemon) {
			signals(d, syscall.SIGCONT, syscall.SIGCONT)
			d.freeze(gracePeriod / 5)
		}},
		{"a pause until the end", large, func(d *fleetDaemon) {
			signals(d, syscall.SIGCONT, syscall.SIGCONT, syscall.SIGCONT)
			d.freeze(gracePeriod)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, 2)
			for i := range 3 {
				c.addRunner(runner.Spec{ID: fmt.Sprint("i-app-slow-", i), Service: "app", DataCentre: "north", Slots: 64, Interval: 300 * time.Millisecond})
			}
			d := c.daemons[0]
			ctx, cancel := context.WithCancel(t.Context())
			var mu sync.Mutex
			ends, lost := map[string]int{}, []string(nil)
			var wg sync.WaitGroup
			send := func(k *keptConn, i int) bool {
				path, model, _ := kindOf(i, "")
				id := fmt.Sprintf("q%d", requestSerial.Add(1))
				text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", path, wire.HeaderRequestID, id, wire.HeaderTimeout, callerTime.Milliseconds(), wire.HeaderModel, model, len(tt.body))
				if model == "" {
					text = strings.Replace(text, wire.HeaderModel+": \r\n", "", 1)
				}
				began := time.Now()
				_, err := io.WriteString(k.conn, text+tt.body)
				resp, body, readErr := k.answer()
				end := endLost
				if readErr == nil {
					end = endOf(resp.StatusCode, body, "")
				}
				if err != nil && end == endWhole {
					end = "answered before it was written"
				}
				mu.Lock()
				defer mu.Unlock()
				ends[end]++
				if readErr != nil && time.Since(began) < callerTime {
					lost = append(lost, id)
				}
				return readErr == nil && !resp.Close
			}
			for i := range 6 { // kept connections
				wg.Go(func() {
					k, err := dialKept(d)
					assert.NilError(t, err)
					defer k.conn.Close()
					for ctx.Err() == nil && send(k, i) {
						time.Sleep(time.Duration(i) * interval)
					}
				})
			}
			wg.Go(func() { // new ones
				for i := 0; ctx.Err() == nil; i++ {
					wg.Go(func() {
						if k, err := dialKept(d); err == nil {
							defer k.conn.Close()
							send(k, i)
						}
					})
					time.Sleep(interval)
				}
			})
			time.Sleep(time.Second)
			assert.NilError(t, d.cmd.Process.Signal(syscall.SIGTERM))
			go tt.grace(d)
			_ = d.cmd.Wait()
			cancel()
			wg.Wait()
			ran := 0
			for _, r := range c.runners {
				for _, run := range r.Runs() {
					if slices.Contains(lost, run.ID) {
						ran++
					}
				}
			}
			t.Logf("%v; of those without an answer %d ran", ends, ran)
			assert.Equal(t, ran, 0)
			assert.Assert(t, ends[endWhole] > 0)
		})
	}
}
