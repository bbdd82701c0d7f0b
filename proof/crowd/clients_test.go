package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"primroseward/core"
	"primroseward/io/tcp"
	wire "primroseward/platform"
	"primroseward/protocol/peerv1/peerv1connect"
)

const (
	// crowdSize is the number of connections that a crowd keeps open, crowdTime for how long.
	crowdSize = 400
	crowdTime = 4 * time.Second
	// largeCrowd is more connections than the daemon may have descriptors.
	largeCrowd = 1200
	// redialPause is the pause of a client whose connection has been closed.
	redialPause = 100 * time.Millisecond
	// largeHead is the size of heads over the limit, legalHead that of heads just below it, in bytes.
	largeHead = 66_000
	legalHead = 15_900
)

// behaviour is what a client does on one connection. n differs between connections.
type behaviour func(c net.Conn, n int)

// crowd is a set of clients that behave in one way. They open a connection again when it has been closed.
type crowd struct {
	addr string
	act  behaviour
	stop chan struct{}
	wg   sync.WaitGroup
}

// gather starts a crowd.
func gather(addr string, size int, act behaviour) *crowd {
	c := &crowd{addr: addr, act: act, stop: make(chan struct{})}
	for n := range size {
		c.wg.Add(1)
		go c.run(n)
	}
	return c
}

// leave closes all connections of the crowd.
func (c *crowd) leave() {
	close(c.stop)
	c.wg.Wait()
}

func (c *crowd) run(n int) {
	defer c.wg.Done()
	for {
		if conn, err := dial(c.addr); err == nil {
			c.use(conn, n)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(redialPause):
		}
	}
}

// use plays the client on a connection until this is closed or the crowd leaves.
func (c *crowd) use(conn net.Conn, n int) {
	left := make(chan struct{})
	defer close(left)
	defer conn.Close()
	go func() {
		select {
		case <-c.stop:
			_ = conn.Close()
		case <-left:
		}
	}()
	c.act(conn, n)
}

// hold waits until the connection is closed. It reads nothing, but looks from time to time.
func hold(c net.Conn) {
	for tcp.Open(c) {
		time.Sleep(redialPause)
	}
}

// readAll reads and drops until the connection is closed.
func readAll(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// send writes, and reports whether all was written.
func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// repeat writes a text until the connection is closed.
func repeat(c net.Conn, text string) {
	block := strings.Repeat(text, max(1, 2048/len(text)))
	for send(c, block) {
		time.Sleep(time.Millisecond)
	}
}

// start returns the first lines of a request.
func start(path string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: c%d\r\n%s: 20000\r\n", path, wire.HeaderRequestID, n, wire.HeaderTimeout)
}

const letters = "abcdefghijklmnopqrstuvwxyz"

// distinctName returns a short field name that differs for each i.
func distinctName(i int) string {
	return string([]byte{letters[i/(26*26)%26], letters[i/26%26], letters[i%26]})
}

// fill appends lines to a head until it has a size.
func fill(head string, size int, line func(i int) string) string {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < size; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

func distinctLine(i int) string { return distinctName(i) + ": \r\n" }

func sameLine(int) string { return "a: \r\n" }

// lengthOf returns the line that announces a body.
func lengthOf(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// headOf returns a behaviour that sends a head of lines and then a text, and holds the connection.
func headOf(path string, size int, line func(int) string, then string) behaviour {
	return func(c net.Conn, n int) {
		if send(c, fill(start(path, n), size, line)) && send(c, then) {
			hold(c)
		}
	}
}

// bodyShortOf returns a behaviour that sends a body without its last byte, with a length or in one chunk.
func bodyShortOf(path, more string, size int, inChunks bool) behaviour {
	return func(c net.Conn, n int) {
		head, body := lengthOf(size), strings.Repeat("x", size-1)
		if inChunks {
			head, body = chunked, fmt.Sprintf("%x\r\n", size)+body
		}
		if send(c, start(path, n)+more+head+"\r\n") && send(c, body) {
			hold(c)
		}
	}
}

// bodyInPieces returns a behaviour that sends a body piece by piece, and stops just short of its end.
func bodyInPieces(path string, size, piece int) behaviour {
	return func(c net.Conn, n int) {
		if !send(c, start(path, n)+lengthOf(size)+"\r\n") {
			return
		}
		for sent := 0; sent+piece < size; sent += piece {
			if !send(c, strings.Repeat("x", piece)) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		hold(c)
	}
}

// endlessBody returns a behaviour that sends chunks without end.
func endlessBody(path, chunk string) behaviour {
	return func(c net.Conn, n int) {
		if send(c, start(path, n)+chunked+"\r\n") {
			repeat(c, chunk)
		}
	}
}

// endlessHead returns a behaviour that sends a text without end, after another one.
func endlessHead(first, endless string) behaviour {
	return func(c net.Conn, _ int) {
		if send(c, first) {
			repeat(c, endless)
		}
	}
}

// wholeRequests returns a behaviour that sends whole requests in a row. It reads the answers as they come, or never.
func wholeRequests(path string, count int, reads bool) behaviour {
	return func(c net.Conn, n int) {
		if reads {
			go readAll(c)
		}
		for range count {
			if !send(c, fill(start(path, n), legalHead, distinctLine)+lengthOf(2)+"\r\nok") {
				return
			}
		}
		hold(c)
	}
}

// keptAnswers returns a behaviour that sends requests whose answers are kept for clients that come back, each under an id of its
// own, and reads the answers.
func keptAnswers(path string, size int) behaviour {
	return func(c net.Conn, n int) {
		go readAll(c)
		for i := 0; send(c, start(path, n)+fmt.Sprintf("%s: kept-%d-%d\r\n", core.HeaderRequest, n, i)+lengthOf(size)+"\r\n"+strings.Repeat("x", size)); i++ {
			time.Sleep(redialPause)
		}
	}
}

// longIDs returns a behaviour that sends requests with long ids for no route, and reads no answer.
func longIDs(count int) behaviour {
	return func(c net.Conn, _ int) {
		for range count {
			if !send(c, "GET /none HTTP/1.1\r\nHost: h.example\r\n"+wire.HeaderRequestID+": "+strings.Repeat("i", 15_000)+"\r\n\r\n") {
				return
			}
		}
		hold(c)
	}
}

// forwardedStart returns the first lines of a request that another daemon passes on.
func forwardedStart(n int) string {
	return start("/ask/x", n) + core.HeaderFrom + ": vm-2\r\n" + core.HeaderRuns + ": 0\r\n" + core.HeaderAttempts + ": 1\r\n"
}

// forwarded returns a behaviour that sends a forwarded request with a large head, and a body without its last byte.
func forwarded(head, body int) behaviour {
	return func(c net.Conn, n int) {
		if send(c, fill(forwardedStart(n), head, distinctLine)+lengthOf(body)+"\r\n"+strings.Repeat("x", body-1)) {
			hold(c)
		}
	}
}

// overHTTP2 returns a client of daemons' own calls that uses one connection.
func overHTTP2(c net.Conn) *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	var used atomic.Bool
	return &http.Client{Transport: &http.Transport{Protocols: p, DialContext: func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, net.ErrClosed
		}
		return c, nil
	}}}
}

// calls returns a behaviour that makes calls of daemons side by side on one connection, with a head of a size. Each sends a
// message that is never whole: size bytes of it, or bytes without end if size is below 0.
func calls(count, head, size int) behaviour {
	return func(c net.Conn, _ int) {
		client := overHTTP2(c)
		var wg sync.WaitGroup
		for range count {
			wg.Go(func() {
				body, end := io.Pipe()
				go func() {
					for sent := 0; size < 0 || sent < size; {
						n, err := end.Write(make([]byte, 16<<10))
						if sent += n; err != nil {
							return
						}
					}
				}()
				req, err := http.NewRequest(http.MethodPost, "http://daemon"+peerv1connect.PeerSyncProcedure, body)
				if err != nil {
					return
				}
				req.Header.Set("Content-Type", "application/proto")
				for i := range head / 1000 {
					req.Header.Set(fmt.Sprint("X-", i), strings.Repeat("v", 990))
				}
				if resp, err := client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
				_ = end.Close()
			})
		}
		wg.Wait()
	}
}
