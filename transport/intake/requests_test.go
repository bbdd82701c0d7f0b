package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"primroseward/transport/intake"
)

// serve starts a server whose connections are held to limits.
func serve(t testing.TB, limits intake.Limits, port intake.Port, h http.HandlerFunc) (*intake.Intake, *httptest.Server) {
	t.Helper()
	in := intake.New(limits, clockwork.NewRealClock(), zap.NewNop())
	srv := httptest.NewUnstartedServer(h)
	srv.Listener = in.Listen(srv.Listener, port)
	in.Attach(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)
	return in, srv
}

// open opens a connection and sends a text.
func open(t *testing.T, srv *httptest.Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	return conn
}

// echo answers with the path and the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %d %v", r.URL.Path, r.Header.Get("X-Mark"), len(body), err)
}

// Guards against a request whose end is found wrongly, so that the next one on its connection is lost, or mixed up with it.
func TestRequestsInARow(t *testing.T) {
	in, srv := serve(t, intake.Limits{Memory: 64 << 20}, intake.Port{Share: 1}, echo)
	rapid.Check(t, func(rt *rapid.T) {
		var text, want strings.Builder
		count := rapid.IntRange(1, 6).Draw(rt, "requests")
		for i := range count {
			size := rapid.SampledFrom([]int{0, 1, 5, 900, 4095, 4096, 9000}).Draw(rt, "size")
			lines := strings.Repeat("X-More: y\r\n", rapid.SampledFrom([]int{0, 0, 3, 700}).Draw(rt, "lines"))
			end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(rt, "end")
			head := fmt.Sprintf("POST /%d HTTP/1.1%sHost: h%sX-Mark: m%d%s%s", i, end, end, i, end, lines)
			body := strings.Repeat("b", size)
			if rapid.Bool().Draw(rt, "chunked") {
				head += "transfer-encoding: Chunked" + end
				body = chunksOf(body, rapid.IntRange(1, 5000).Draw(rt, "chunk"), rapid.SampledFrom([]string{"", "X-Trailer: z\r\n"}).Draw(rt, "trailer"))
			} else {
				head += fmt.Sprintf("CONTENT-LENGTH:%d%s", size, end)
			}
			text.WriteString(head + end + body)
			fmt.Fprintf(&want, "/%d m%d %d <nil>\n", i, i, size)
		}
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(rt, err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		part := rapid.SampledFrom([]int{1 << 20, 1 << 20, 4096, 1000, 37}).Draw(rt, "part")
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(part, len(rest))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		var got strings.Builder
		in := bufio.NewReader(conn)
		for range count {
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(rt, err, "after %q", got.String())
			body, err := io.ReadAll(resp.Body)
			assert.NilError(rt, err)
			fmt.Fprintf(&got, "%s\n", body)
		}
		assert.Equal(rt, got.String(), want.String())
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := in.Budget().Used(); used != 0 {
			return poll.Continue("%d bytes are still held", used)
		}
		return poll.Success()
	})
}

// chunksOf returns a body in chunks of a size.
func chunksOf(body string, size int, trailer string) string {
	var b strings.Builder
	for body != "" {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x;ext\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n" + trailer + "\r\n"
}

// Guards against heads that are refused or served for another size than the one that was sent.
func TestHeadLimitIsThatOfTheBytesSent(t *testing.T) {
	const limit = 1000
	_, srv := serve(t, intake.Limits{Memory: 1 << 20}, intake.Port{Share: 1, HeadLimit: limit}, echo)
	start := "GET /x HTTP/1.1\r\nHost: h\r\n"
	for _, tt := range []struct {
		name, head string
		status     int
	}{
		{"at the limit", start + "X: " + strings.Repeat("v", limit-len(start)-len("X: \r\n")) + "\r\n", http.StatusOK},
		{"a byte more", start + "X: " + strings.Repeat("v", limit+1-len(start)-len("X: \r\n")) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"without spaces", start + strings.Repeat("a:\n", (limit-len(start))/3), http.StatusOK},
		{"far more", start + strings.Repeat("a:\n", limit), http.StatusRequestHeaderFieldsTooLarge},
	} {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, tt.head+"\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, tt.name)
		assert.Equal(t, resp.StatusCode, tt.status, tt.name)
		_ = conn.Close()
	}
}

// Guards against a crowd of halves that takes all room: what makes no progress goes before a whole request is refused,
// and a whole request stays.
func TestWhatMakesNoProgressMakesRoom(t *testing.T) {
	const memory = 270 << 10
	began, end := make(chan string, 16), make(chan struct{})
	in, srv := serve(t, intake.Limits{Memory: memory}, intake.Port{Share: 1}, func(_ http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if r.URL.Path == "/whole" {
			<-end
		}
	})
	whole := open(t, srv, "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	var halves []net.Conn
	for range 9 {
		halves = append(halves, open(t, srv, "POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789"))
		<-began
	}
	time.Sleep(400 * time.Millisecond)
	for range 3 {
		resp, err := http.Get(srv.URL + "/ordinary")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_ = resp.Body.Close()
	}
	assert.Assert(t, in.Budget().Used() <= memory)
	close(end)
	resp, err := http.ReadResponse(bufio.NewReader(whole), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_ = halves[0].SetReadDeadline(time.Now().Add(time.Second))
	_, err = halves[0].Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the oldest half is still open")
}

// Guards against a place that is taken from a request in progress, or from nobody, as more connections come than may be open.
func TestPlacesOfConnections(t *testing.T) {
	const places = 8
	end := make(chan struct{})
	_, srv := serve(t, intake.Limits{Connections: places}, intake.Port{Share: 1}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/whole" {
			<-end
		}
	})
	whole := open(t, srv, "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n")
	for range 4 * places {
		open(t, srv, "")
	}
	resp, err := http.Get(srv.URL + "/ordinary")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_ = resp.Body.Close()
	close(end)
	resp, err = http.ReadResponse(bufio.NewReader(whole), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against heads that take more memory than they are charged, whatever their lines.
func TestChargeCoversParsedHeads(t *testing.T) {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := func(i int) string {
		return string([]byte{letters[i/(26*26)%26], letters[i/26%26], letters[i%26]})
	}
	for _, tt := range []struct {
		name string
		line func(i int) string
	}{
		{"names all different", func(i int) string { return name(i) + ":\n" }},
		{"one name", func(int) string { return "a:\n" }},
		{"short values", func(i int) string { return name(i) + ": v\r\n" }},
		{"long values", func(i int) string { return name(i) + ": " + strings.Repeat("v", 200) + "\r\n" }},
	} {
		for _, size := range []int{400, 16 << 10, 64 << 10} {
			var b strings.Builder
			b.WriteString("GET /x HTTP/1.1\r\nHost: h\r\n")
			for i := 0; b.Len() < size; i++ {
				b.WriteString(tt.line(i))
			}
			b.WriteString("\r\n")
			text := b.String()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			assert.NilError(t, err)
			forwarded := r.Header.Clone()
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			cost := int64(intake.Cost([]byte(text)))
			assert.Assert(t, held <= cost, "%s, %d bytes: %d held, %d charged", tt.name, size, held, cost)
			runtime.KeepAlive(forwarded)
			runtime.KeepAlive(r)
		}
	}
}

// Guards against clients that send just enough to count as progress, and so keep all room for as long as they like.
func TestSlowRequestsMakeRoom(t *testing.T) {
	const memory = 60 << 10
	_, srv := serve(t, intake.Limits{Memory: memory}, intake.Port{Share: 1}, echo)
	for range 2 {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			_, err := io.WriteString(conn, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n")
			for err == nil { // ends with the connection
				_, err = io.WriteString(conn, strings.Repeat("x", 5000))
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get(srv.URL + "/ordinary")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	})
}
