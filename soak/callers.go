package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseward/core"
	wire "primroseward/platform"
)

const (
	// timeout is the time limit that a caller sends with its request. lateWait is how
	// much longer the caller reads, to detect answers that come late.
	timeout  = 3 * time.Second
	lateWait = 6 * time.Second
	// abandonPercent is the percentage of streams that callers abandon in the middle.
	abandonPercent = 5
	// abandonAfter is how many bytes of a stream these callers read.
	abandonAfter = 60
)

// request is one request of a caller and its result.
type request struct {
	id, kind, target, body string
	model                  string
	prompt                 []string // shared parts
	first                  *request // the attempt that began the stream that this one takes up; nil: a new request
	lastEvent              int      // after which this one takes it up
	hot                    bool     // sent for the hot workspace
	daemon                 *daemon
	processStart           time.Time // start of the daemon's process, as of sending
	sent, ended            time.Time
	status                 int // 0: no answer
	answer                 string
	retryAfter             string
	complete               bool // the answer was read to its end
	abandoned              bool // the caller closed the connection before the end of the answer
	err                    error
}

// caller sends requests one after the other. It keeps its connection for as long as that
// works, whatever addresses the directory lists meanwhile.
type caller struct {
	w     *World
	rng   *rand.Rand
	sent  int
	index int
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		d := c.pickDaemon()
		if d == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", d.callerProxy.Addr(), time.Second)
		if err != nil {
			continue
		}
		c.sendOn(d, conn, stop)
		_ = conn.Close()
	}
}

// pickDaemon reads the addresses from the directory of a random daemon and returns the daemon
// at one of them, or nil if the directory lists none.
func (c *caller) pickDaemon() *daemon {
	list := c.w.lookUpAddresses(c.w.daemons[c.rng.IntN(len(c.w.daemons))])
	if len(list) == 0 {
		return nil
	}
	return c.w.daemonAt(list[c.rng.IntN(len(list))])
}

// sendOn sends requests on a connection until it cannot be used any more or stop is closed.
func (c *caller) sendOn(d *daemon, conn net.Conn, stop <-chan struct{}) {
	in := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !c.sendNext(d, conn, in) {
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
}

// newRequest returns a request of a random kind.
func (c *caller) newRequest(d *daemon) *request {
	c.sent++
	d.mu.Lock()
	req := &request{id: fmt.Sprintf("c%d-%d", c.index, c.sent), daemon: d, processStart: d.processStart}
	d.mu.Unlock()
	switch c.rng.IntN(4) {
	case 0:
		req.kind, req.target, req.body = "order", "/order/"+req.id, "belt "+req.id
	case 1:
		req.kind, req.target, req.hot = "ask", "/ask/"+req.id+"?q=1", c.rng.IntN(100) < hotPercent
	default:
		req.kind, req.target, req.prompt = "gen", "/gen/"+req.id, harmlessPrompt(req.id)
		if c.w.opts.Balance && c.rng.IntN(100) < patientPercent {
			req.target = patientPrefix + req.id
		}
	}
	if c.w.uploads() && c.sent%uploadInterval == 0 {
		req.body += strings.Repeat(" upload", uploadBytes/len(" upload")+1)
	}
	return req
}

// pickModel returns the model of a stream: mostly the busy model m1, at times one of its
// adapters or the other model m2.
func (c *caller) pickModel() string {
	switch n := c.rng.IntN(10); {
	case n < 6:
		return "m1"
	case n < 9:
		return fmt.Sprintf("m1/a%d", 1+c.rng.IntN(6))
	default:
		return "m2"
	}
}

// sendNext sends one request and reads its answer. It returns false if the connection cannot
// be used any more.
func (c *caller) sendNext(d *daemon, conn net.Conn, in *bufio.Reader) bool {
	req := c.newRequest(d)
	if req.kind == "gen" {
		req.model = c.pickModel()
		req.abandoned = c.rng.IntN(100) < abandonPercent
	}
	ok := c.w.send(req, conn, in)
	if !ok && req.kind == "gen" {
		_ = conn.Close()
		c.takeUp(req)
	}
	return ok
}

// send sends a request, reads its answer and checks it. It returns false if the connection
// cannot be used any more.
func (w *World) send(req *request, conn net.Conn, in *bufio.Reader) bool {
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: %s %s\r\nContent-Length: %d\r\n",
		req.target, wire.HeaderRequestID, req.id, wire.HeaderTimeout, timeout.Milliseconds(), wire.HeaderKey, wire.KeyScheme, req.key(), len(req.body))
	if req.kind == "gen" {
		header += wire.HeaderModel + ": " + req.model + "\r\n" + promptLine(req)
	}
	if req.first != nil {
		header += fmt.Sprintf("%s: %s\r\n%s: %d\r\n", core.HeaderResumes, req.first.id, wire.HeaderLastEvent, req.lastEvent)
	}
	req.sent = time.Now()
	w.mu.Lock()
	w.requests = append(w.requests, req)
	w.mu.Unlock()
	_ = conn.SetDeadline(req.sent.Add(timeout + lateWait)) // a closed connection fails below
	_, err := io.WriteString(conn, header+"\r\n"+req.body)
	if err == nil {
		err = req.readAnswer(in)
	}
	w.mu.Lock()
	req.ended, req.err = time.Now(), err
	w.mu.Unlock()
	w.checkAnswer(req)
	return err == nil && !req.abandoned
}

// readAnswer reads the answer, or only a part of it if the caller abandons the stream.
func (req *request) readAnswer(in *bufio.Reader) error {
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	req.status, req.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	if req.abandoned && req.status == http.StatusOK {
		var part strings.Builder
		_, err = io.CopyN(&part, resp.Body, abandonAfter)
		req.answer = part.String()
		return err
	}
	req.abandoned = false
	data, err := io.ReadAll(resp.Body)
	req.answer, req.complete = string(data), err == nil
	if err == nil && resp.Close {
		err = io.EOF
	}
	return err
}

// checkAnswer checks what is visible in the answer alone.
func (w *World) checkAnswer(req *request) {
	switch {
	case req.status == 0 || req.abandoned:
	case req.status == http.StatusOK && req.complete && req.kind == "gen" && !isWholeStream(req):
		w.reportViolation("%s: a stream ended normally with wrong content: %.200q", req.id, req.answer)
	case req.status == http.StatusOK && req.complete && req.kind != "gen" && !strings.HasSuffix(req.answer, " "+req.target+" "+req.body):
		w.reportViolation("%s: the answer belongs to another request: %.200q", req.id, req.answer)
	case req.status == http.StatusNotFound:
		w.reportViolation("%s: 404 on a route that is in every configuration: %.200s", req.id, req.answer)
	case req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests:
		if s, err := strconv.ParseFloat(req.retryAfter, 64); (err != nil || s <= 0) && !neverServed(req) {
			w.reportViolation("%s: refused without a valid Retry-After: %.200s", req.id, req.answer)
		}
	}
	if took := req.ended.Sub(req.sent); took > timeout+w.scale(lateMargin) && !req.daemon.impairedDuring(req.sent, req.ended) {
		w.reportViolation("%s: %s at %s took %v, its time limit is %v", req.id, req.kind, req.daemon.name, took, timeout)
	}
}

// lateMargin is how long after a request's time limit its final answer may come, on a
// machine that runs many processes.
const lateMargin = 1500 * time.Millisecond
