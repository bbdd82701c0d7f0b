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

	wire "primroseward/platform"
)

const (
	// timeout is how long a caller says that it waits; patience is how much longer
	// it does, to see whether the answer comes late.
	timeout  = 3 * time.Second
	patience = 6 * time.Second
	// leaves is how many of a hundred streams are left in their middle.
	leaves = 5
)

// ask is one request of a caller and what became of it.
type ask struct {
	id, kind, target, body string
	hot                    bool // of the hot workspace
	daemon                 *daemon
	process                time.Time // when its process had started
	sent, ended            time.Time
	status                 int // 0: no answer
	answer                 string
	retry                  string
	whole                  bool // the answer came to its end
	left                   bool // the caller did not wait for that
	err                    error
}

// caller sends requests one after the other and keeps its connection for as long as
// it works, whatever the directory says meanwhile.
type caller struct {
	w   *World
	rng *rand.Rand
	n   int
	num int
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		d := c.find()
		if d == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", d.front.Addr(), time.Second)
		if err != nil {
			continue
		}
		c.use(d, conn, stop)
		_ = conn.Close()
	}
}

// find asks the directory of any daemon for addresses and takes one of them.
func (c *caller) find() *daemon {
	list := c.w.addresses(c.w.daemons[c.rng.IntN(len(c.w.daemons))])
	if len(list) == 0 {
		return nil
	}
	return c.w.byCaller(list[c.rng.IntN(len(list))])
}

// use sends requests on a connection until it ends.
func (c *caller) use(d *daemon, conn net.Conn, stop <-chan struct{}) {
	in := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !c.once(d, conn, in) {
			return
		}
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
}

// draw makes a request.
func (c *caller) draw(d *daemon) *ask {
	c.n++
	d.mu.Lock()
	a := &ask{id: fmt.Sprintf("c%d-%d", c.num, c.n), daemon: d, process: d.began}
	d.mu.Unlock()
	switch c.rng.IntN(4) {
	case 0:
		a.kind, a.target, a.body = "order", "/order/"+a.id, "belt "+a.id
	case 1:
		a.kind, a.target, a.hot = "ask", "/ask/"+a.id+"?q=1", c.rng.IntN(100) < hotShare
	default:
		a.kind, a.target = "gen", "/gen/"+a.id
	}
	return a
}

// model draws what a stream asks for: mostly the busy model, at times an adapter of it
// or the other model.
func (c *caller) model() string {
	switch n := c.rng.IntN(10); {
	case n < 6:
		return "m1"
	case n < 9:
		return fmt.Sprintf("m1/a%d", 1+c.rng.IntN(6))
	default:
		return "m2"
	}
}

// once sends one request and reads its answer; false when the connection is of no use
// any more.
func (c *caller) once(d *daemon, conn net.Conn, in *bufio.Reader) bool {
	a := c.draw(d)
	model := ""
	if a.kind == "gen" {
		model = c.model()
		a.left = c.rng.IntN(100) < leaves
	}
	return c.w.send(a, model, conn, in)
}

// send sends a request and reads its answer; false when the connection is of no use any
// more.
func (w *World) send(a *ask, model string, conn net.Conn, in *bufio.Reader) bool {
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: %s %s\r\nContent-Length: %d\r\n",
		a.target, wire.HeaderRequestID, a.id, wire.HeaderTimeout, timeout.Milliseconds(), wire.HeaderKey, wire.KeyScheme, a.key(), len(a.body))
	if a.kind == "gen" {
		header += wire.HeaderModel + ": " + model + "\r\n"
	}
	a.sent = time.Now()
	w.mu.Lock()
	w.asked = append(w.asked, a)
	w.mu.Unlock()
	_ = conn.SetDeadline(a.sent.Add(timeout + patience)) // a closed connection fails below
	_, err := io.WriteString(conn, header+"\r\n"+a.body)
	if err == nil {
		err = a.read(in)
	}
	w.mu.Lock()
	a.ended, a.err = time.Now(), err
	w.mu.Unlock()
	w.judge(a)
	return err == nil && !a.left
}

// read reads the answer; a caller that leaves reads a part of it.
func (a *ask) read(in *bufio.Reader) error {
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	a.status, a.retry = resp.StatusCode, resp.Header.Get("Retry-After")
	if a.left && a.status == http.StatusOK {
		_, err = io.CopyN(io.Discard, resp.Body, 60)
		return err
	}
	a.left = false
	data, err := io.ReadAll(resp.Body)
	a.answer, a.whole = string(data), err == nil
	if err == nil && resp.Close {
		err = io.EOF
	}
	return err
}

// wholeStream is what a stream's answer must be.
func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

var wantStream = wholeStream()

// judge checks what can be told from an answer alone.
func (w *World) judge(a *ask) {
	switch {
	case a.status == 0 || a.left:
	case a.status == http.StatusOK && a.whole && a.kind == "gen" && a.answer != wantStream:
		w.note("%s: a stream that ended whole is not: %.200q", a.id, a.answer)
	case a.status == http.StatusOK && a.whole && a.kind != "gen" && !strings.HasSuffix(a.answer, " "+a.target+" "+a.body):
		w.note("%s: the answer is another request's: %.200q", a.id, a.answer)
	case a.status == http.StatusNotFound:
		w.note("%s: 404 for a route of every configuration: %.200s", a.id, a.answer)
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		if s, err := strconv.ParseFloat(a.retry, 64); err != nil || s <= 0 {
			w.note("%s: refused without a time to come back: %.200s", a.id, a.answer)
		}
	}
	if took := a.ended.Sub(a.sent); took > timeout+w.slow(lateMargin) && !a.daemon.harmed(a.sent, a.ended) {
		w.note("%s: %s at %s after %v, its time is %v", a.id, a.kind, a.daemon.name, took, timeout)
	}
}

// lateMargin is how much later than a request's time its final answer may come, on a
// machine that runs many processes.
const lateMargin = 1500 * time.Millisecond
