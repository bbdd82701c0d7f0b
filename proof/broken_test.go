package proof

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/fuzz"
	"primroseward/standin/paths"
	"primroseward/standin/runner"
)

const (
	// largeAnswer is more bytes than a daemon holds in memory of one answer.
	largeAnswer = 42 << 20
	// rawTimeout bounds one answer to a raw caller.
	rawTimeout = 20 * time.Second
)

// rawAnswer is an answer as its bytes show it.
type rawAnswer struct {
	status   int
	header   string
	body     string
	complete bool // its framing says so
}

// sendRaw sends a request and reads all bytes that come back until the connection ends. version is
// the minor version of HTTP.
func (d *fleetDaemon) sendRaw(t *testing.T, version int, path, model string) rawAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", d.callerAddr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	text := fmt.Sprintf("POST %s HTTP/1.%d\r\nHost: h.example\r\nConnection: close\r\n%s: q%d\r\n%s: 15000\r\nContent-Length: 0\r\n", path, version, wire.HeaderRequestID, requestSerial.Add(1), wire.HeaderTimeout)
	if model != "" {
		text += wire.HeaderModel + ": " + model + "\r\n"
	}
	_, err = io.WriteString(conn, text+"\r\n")
	assert.NilError(t, err)
	data, err := io.ReadAll(conn)
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "%s: no end after %v", path, rawTimeout)
	return parseRaw(t, string(data), err == nil)
}

// parseRaw reads the bytes of an answer. closed reports whether the connection ended without a reset.
func parseRaw(t *testing.T, data string, closed bool) rawAnswer {
	t.Helper()
	head, body, found := strings.Cut(data, "\r\n\r\n")
	if !found {
		return rawAnswer{header: head}
	}
	a := rawAnswer{header: strings.ToLower(head), body: body, complete: closed}
	status, err := strconv.Atoi(strings.Fields(head)[1])
	assert.NilError(t, err, "%q", head)
	a.status = status
	if _, length, ok := strings.Cut(a.header, "\r\ncontent-length:"); ok {
		length, _, _ = strings.Cut(length, "\r\n")
		want, err := strconv.Atoi(strings.TrimSpace(length))
		assert.NilError(t, err, "%q", head)
		a.complete = len(body) == want
	}
	if strings.Contains(a.header, "\r\ntransfer-encoding: chunked") {
		a.body, a.complete = joinChunks(body)
	}
	return a
}

// joinChunks returns the body that was sent in chunks, and whether it has its last chunk.
func joinChunks(data string) (string, bool) {
	var body strings.Builder
	for {
		size, rest, ok := strings.Cut(data, "\r\n")
		n, err := strconv.ParseInt(size, 16, 64)
		if !ok || err != nil || int64(len(rest)) < n+2 {
			return body.String(), false
		}
		if n == 0 {
			return body.String(), true
		}
		body.WriteString(rest[:n])
		data = rest[n+2:]
	}
}

// streamEnd is a way in which a runner ends a stream.
type streamEnd struct {
	name  string
	raw   runner.Raw
	whole bool
}

// streamEnds are ways in which a stream of 20 events ends, or breaks off.
func streamEnds() []streamEnd {
	const events = 20
	whole := fullStream(events)
	crlf := strings.ReplaceAll(whole, "\n", "\r\n")
	three := len(fullStream(3))
	return []streamEnd{
		{"whole, ends with its connection", runner.Raw{Framing: core.FramingClose, Body: whole}, true},
		{"whole, CRLF, ends with its connection", runner.Raw{Framing: core.FramingClose, Body: crlf}, true},
		{"whole, HTTP/1.0", runner.Raw{Old: true, Framing: core.FramingClose, Body: whole}, true},
		{"whole, in chunks", runner.Raw{Framing: core.FramingChunked, Body: whole}, true},
		{"whole, with a length", runner.Raw{Framing: core.FramingLength, Body: whole}, true},
		{"closed inside an event", runner.Raw{Framing: core.FramingClose, Body: whole[:three+9]}, false},
		{"closed after a line", runner.Raw{Framing: core.FramingClose, Body: whole[:three+6]}, false},
		{"closed before the last line end", runner.Raw{Framing: core.FramingClose, Body: whole[:len(whole)-1]}, false},
		{"closed in the first event", runner.Raw{Framing: core.FramingClose, Body: whole[:5]}, false},
		{"closed after the head", runner.Raw{Framing: core.FramingClose}, false},
		{"closed inside an event, CRLF", runner.Raw{Framing: core.FramingClose, Body: crlf[:len(crlf)-2]}, false},
		{"closed inside an event, HTTP/1.0", runner.Raw{Old: true, Framing: core.FramingClose, Body: whole[:three+9]}, false},
		{"last chunk inside an event", runner.Raw{Framing: core.FramingChunked, Body: whole[:three+9]}, false},
		{"length ends inside an event", runner.Raw{Framing: core.FramingLength, Body: whole[:three+9]}, false},
		{"without its last chunk", runner.Raw{Framing: core.FramingChunked, Body: whole[:three], Cut: true}, false},
		{"reset between events", runner.Raw{Framing: core.FramingClose, Body: whole[:three], Reset: true}, false},
	}
}

// TestStreamsThatBreakOffNeverLookComplete guards against a stream that its runner broke off and that
// reaches the caller as complete, because any end of the runner's connection or of its chunks counted
// as the end of the stream, or because the caller's framing hides the break.
func TestStreamsThatBreakOffNeverLookComplete(t *testing.T) {
	for _, version := range []int{1, 0} {
		c := startFleet(t, 1, withRetries)
		for i, tt := range streamEnds() {
			for _, r := range c.runners {
				r.SetRaw(func(r *http.Request) *runner.Raw {
					if r.Header.Get(wire.HeaderLastEvent) != "" || strings.HasPrefix(r.URL.Path, "/gen/") && !tt.whole && runsOfRequest(c, r) > 1 {
						return nil
					}
					return &tt.raw
				})
			}
			for _, route := range []string{"gen", "live"} {
				name := fmt.Sprintf("HTTP/1.%d, %s, %s", version, route, tt.name)
				a := c.daemons[0].sendRaw(t, version, fmt.Sprintf("/%s/%d-%d", route, version, i), "m1")
				body := strings.ReplaceAll(a.body, "\r\n", "\n")
				if tt.whole || route == "gen" { // the latter is resumed or sent elsewhere
					assert.Check(t, a.status == http.StatusOK && a.complete && body == fullStream(20), "%s: %d, complete %v, %q", name, a.status, a.complete, a.body)
					continue
				}
				assert.Check(t, a.status == http.StatusBadGateway || !a.complete, "%s: %d, complete %v, %q", name, a.status, a.complete, a.body)
				assert.Check(t, a.status != http.StatusOK || strings.HasPrefix(fullStream(20), body) && strings.HasSuffix(body, "\n\n"), "%s: %q", name, a.body)
			}
		}
	}
}

// runsOfRequest returns how many runs of a request have begun.
func runsOfRequest(c *fleetCluster, r *http.Request) int {
	n := 0
	for _, one := range c.runners {
		for _, run := range one.Runs() {
			if run.ID == r.Header.Get(wire.HeaderRequestID) {
				n++
			}
		}
	}
	return n
}

// TestLargeAnswersAreWhole guards against an answer larger than a daemon holds in memory that reaches
// the caller short and as complete, because the rest was dropped.
func TestLargeAnswersAreWhole(t *testing.T) {
	c := startFleet(t, 1)
	large := strings.Repeat("0123456789abcdef", largeAnswer/16)
	for i, tt := range []struct {
		name  string
		raw   runner.Raw
		whole bool
	}{
		{"small, ends with its connection", runner.Raw{Framing: core.FramingClose, Body: large[:6000]}, true},
		{"ends with its connection", runner.Raw{Framing: core.FramingClose, Body: large}, true},
		{"in chunks", runner.Raw{Framing: core.FramingChunked, Body: large}, true},
		{"with a length", runner.Raw{Framing: core.FramingLength, Body: large}, true},
		{"without its last chunk", runner.Raw{Framing: core.FramingChunked, Body: large, Cut: true}, false},
		{"shorter than its length", runner.Raw{Framing: core.FramingLength, Body: large, Cut: true}, false},
		{"reset", runner.Raw{Framing: core.FramingClose, Body: large, Reset: true}, false},
		{"small and reset", runner.Raw{Framing: core.FramingClose, Body: large[:6000], Reset: true}, false},
	} {
		for _, r := range c.runners {
			r.SetRaw(func(*http.Request) *runner.Raw { return &tt.raw })
		}
		for _, version := range []int{1, 0} {
			a := c.daemons[0].sendRaw(t, version, fmt.Sprintf("/order/%d-%d", version, i), "")
			if tt.whole {
				assert.Check(t, a.status == http.StatusOK && a.complete && a.body == tt.raw.Body, "%s, HTTP/1.%d: %d, complete %v, %d bytes", tt.name, version, a.status, a.complete, len(a.body))
				continue
			}
			assert.Check(t, a.status == http.StatusBadGateway || !a.complete, "%s, HTTP/1.%d: %d, complete %v, %d bytes", tt.name, version, a.status, a.complete, len(a.body))
		}
	}
}

// TestAnswersOfEndingDaemonsNeverLookComplete guards against a stream that the daemon breaks off, because
// it is killed or stopped or the time limit passes, and that looks complete to its caller; directly and
// behind a daemon that forwards the request.
func TestAnswersOfEndingDaemonsNeverLookComplete(t *testing.T) {
	for _, tt := range []struct {
		name    string
		forward bool
		end     func(t *testing.T, c *fleetCluster, gen *runner.Server)
	}{
		{"killed", false, func(_ *testing.T, c *fleetCluster, _ *runner.Server) { c.daemons[0].kill() }},
		{"stopped", false, func(t *testing.T, c *fleetCluster, _ *runner.Server) {
			assert.NilError(t, c.daemons[0].cmd.Process.Signal(syscall.SIGTERM))
		}},
		{"reloaded", false, func(t *testing.T, c *fleetCluster, _ *runner.Server) {
			assert.NilError(t, c.daemons[0].cmd.Process.Signal(syscall.SIGHUP))
		}},
		{"its time is up", false, func(*testing.T, *fleetCluster, *runner.Server) {}},
		{"forwarded, this daemon is killed", true, func(_ *testing.T, c *fleetCluster, _ *runner.Server) { c.daemons[0].kill() }},
		{"forwarded, the other daemon is killed", true, func(_ *testing.T, c *fleetCluster, _ *runner.Server) { c.daemons[1].kill() }},
		{"forwarded, the runner closes", true, func(_ *testing.T, _ *fleetCluster, gen *runner.Server) { gen.Kill() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var c *fleetCluster
			if tt.forward {
				c = startForwardingFleet(t, 2).fleetCluster
			} else {
				c = startFleet(t, 1, func(c *fleetCluster) { c.events = 4 * longEvents })
			}
			gen := c.runners[len(c.runners)-1]
			answers := make(chan rawAnswer, 2)
			for version := range 2 {
				go func() { answers <- c.daemons[0].sendRaw(t, version, "/live/x", "m1") }()
			}
			time.Sleep(longRun / 5)
			assert.Equal(t, c.runsOf("gen"), 2)
			tt.end(t, c, gen)
			for range 2 {
				a := <-answers
				assert.Check(t, a.status == http.StatusOK && !a.complete, "%d, complete %v: %q", a.status, a.complete, a.body)
				assert.Check(t, a.body != "")
			}
		})
	}
}

// TestRunnersThatExitBetweenEvents guards against a stream without length and chunks that counts as
// complete because its runner's process exited between two events, which closes the connection too.
func TestRunnersThatExitBetweenEvents(t *testing.T) {
	c := startFleet(t, 2, withRetries)
	exits := func(r *http.Request) *runner.Raw {
		if r.Header.Get(wire.HeaderLastEvent) != "" {
			return nil
		}
		return &runner.Raw{Framing: core.FramingClose, Body: fullStream(3), Exit: true}
	}
	for _, r := range c.runners[:2] {
		r.SetRaw(exits)
	}
	a := c.daemons[0].sendRaw(t, 1, "/gen/x", "m1")
	assert.Assert(t, a.status == http.StatusOK && a.complete && a.body == fullStream(20), "%d, complete %v: %q", a.status, a.complete, a.body)
	a = c.daemons[0].sendRaw(t, 1, "/live/x", "m1")
	assert.Assert(t, a.status == http.StatusOK && !a.complete && a.body == fullStream(3), "%d, complete %v: %q", a.status, a.complete, a.body)
}

// TestBrokenStreamsThroughAForwardingDaemon guards against a stream that its runner broke off and that
// looks complete behind a daemon that forwarded the request, and against a whole one that looks broken.
func TestBrokenStreamsThroughAForwardingDaemon(t *testing.T) {
	c := startForwardingFleet(t, 2)
	for i, tt := range streamEnds() {
		c.gen.SetRaw(func(*http.Request) *runner.Raw { return &tt.raw })
		for version := range 2 {
			a := c.daemons[0].sendRaw(t, version, fmt.Sprintf("/live/%d-%d", version, i), "m1")
			body := strings.ReplaceAll(a.body, "\r\n", "\n")
			if tt.whole {
				assert.Check(t, a.status == http.StatusOK && a.complete && body == fullStream(20), "HTTP/1.%d, %s: %d, complete %v, %q", version, tt.name, a.status, a.complete, a.body)
				continue
			}
			assert.Check(t, a.status == http.StatusBadGateway || !a.complete, "HTTP/1.%d, %s: %d, complete %v, %q", version, tt.name, a.status, a.complete, a.body)
		}
	}
}

// endsInsideEvent is a plain reading of a stream of events: whether its text ends inside one, and how many
// events are complete.
func endsInsideEvent(text string) (inside bool, events int) {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	for line := range strings.Lines(text) {
		switch {
		case line == "\n" && inside:
			inside, events = false, events+1
		case line != "\n" && line[0] != ':':
			inside = true
		}
	}
	return inside, events
}

// TestAnyCutWithAnyFraming guards against a cut point, a framing, a line end or a version of HTTP with
// which a broken stream looks complete, or a whole one broken.
func TestAnyCutWithAnyFraming(t *testing.T) {
	fuzz.FixSeeds(1, 200, 30)
	c := startFleet(t, 1)
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		serial++
		events := ""
		for i := range rapid.IntRange(0, 4).Draw(rt, "events") {
			events += rapid.SampledFrom([]string{"", "", ": comment\n", "\n"}).Draw(rt, "between") + fmt.Sprintf("id: %d\ndata: piece\n\n", i+1)
		}
		text := strings.ReplaceAll(events, "\n", rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(rt, "line end"))
		raw := runner.Raw{
			Old:     rapid.Bool().Draw(rt, "HTTP/1.0 at the runner"),
			Framing: rapid.SampledFrom([]core.Framing{core.FramingClose, core.FramingLength, core.FramingChunked}).Draw(rt, "framing"),
			Body:    text[:rapid.IntRange(0, len(text)).Draw(rt, "cut")],
		}
		if raw.Framing == core.FramingClose {
			raw.Reset = rapid.Bool().Draw(rt, "reset")
		} else {
			raw.Cut = rapid.Bool().Draw(rt, "framing cut")
		}
		if raw.Framing == core.FramingChunked {
			raw.Old = false // HTTP/1.0 has no chunks
		}
		for _, r := range c.runners {
			r.SetRaw(func(*http.Request) *runner.Raw { return &raw })
		}
		inside, complete := endsInsideEvent(raw.Body)
		whole := !inside && !raw.Reset && !raw.Cut && (complete > 0 || raw.Framing != core.FramingClose)
		version := rapid.IntRange(0, 1).Draw(rt, "HTTP version")
		a := c.daemons[0].sendRaw(t, version, fmt.Sprintf("/live/%d", serial), "m1")
		if whole {
			assert.Assert(rt, a.status == http.StatusOK && a.complete && a.body == raw.Body, "%d, complete %v, %q of %q", a.status, a.complete, a.body, raw.Body)
			return
		}
		assert.Assert(rt, a.status == http.StatusBadGateway || a.status == http.StatusOK && !a.complete, "%d, complete %v, %q of %q", a.status, a.complete, a.body, raw.Body)
		assert.Assert(rt, a.status != http.StatusOK || strings.HasPrefix(raw.Body, a.body), "%q of %q", a.body, raw.Body)
	})
}

// TestRunnerStopsInItsHead guards against a runner that stops in the middle of its answer's head and closes, and whose
// answer reaches the caller as a success with an empty or short body, from a daemon that reaches the runner or through
// another one that it forwards to.
func TestRunnerStopsInItsHead(t *testing.T) {
	c := startFleet(t, 2, withPaths)
	c.partition([]int{0}, paths.Reset)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, _, err := c.daemons[0].send("/ask/x", "", ""); err != nil || status != http.StatusOK {
			return poll.Continue("%d %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	for _, framing := range []core.Framing{core.FramingLength, core.FramingChunked, core.FramingClose} {
		for _, cut := range []int{1, 9, 12, 15, 17, 30, -40, -20, -5, -4, -3, -2, -1} {
			raw := &runner.Raw{Framing: framing, Body: fullStream(20), CutHead: cut}
			for _, r := range c.runners {
				r.SetRaw(func(*http.Request) *runner.Raw { return raw })
			}
			for _, path := range []string{"order", "ask", "live", "gen"} {
				model := map[string]string{"live": "m1", "gen": "m1"}[path]
				for _, d := range c.daemons {
					a := d.sendRaw(t, 1, fmt.Sprintf("/%s/%s%d", path, framing, cut), model)
					assert.Check(t, a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusServiceUnavailable,
						"%s %s, %s, head cut at %d: %d, complete %v, %q", d.name, path, framing, cut, a.status, a.complete, a.body)
				}
			}
		}
	}
}
