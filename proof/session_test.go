package proof

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"primroseward/standin/engine"
	"primroseward/transport/routers"
)

// volatile lists the parts of a recorded session that differ from run to run, with their
// replacements.
var volatile = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`), "TIME"},
	{regexp.MustCompile(`after [0-9.]+m?s`), "after TIME"},
	{regexp.MustCompile(`version \d+`), "version N"},
	{regexp.MustCompile(`"version": \d+`), `"version": N`},
	{regexp.MustCompile(`Date: .*`), "Date: TIME"},
	{regexp.MustCompile(`"member":"vm-\d"`), `"member":"VM"`},
}

// normalize replaces the volatile parts of a session.
func normalize(s string) string {
	for _, v := range volatile {
		s = v.pattern.ReplaceAllString(s, v.with)
	}
	return s
}

// exchange sends one request and appends it and its answer to the text of a session.
func (d *daemon) exchange(out *strings.Builder, method, path, body string, header ...string) {
	req, _ := http.NewRequest(method, "http://"+d.callerAddr+path, strings.NewReader(body))
	fmt.Fprintf(out, "> %s %s\n", method, path)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
		fmt.Fprintf(out, "> %s: %s\n", header[i], header[i+1])
	}
	if body != "" {
		fmt.Fprintf(out, "> %s\n", body)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		fmt.Fprintf(out, "! %v\n", err)
		return
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	fmt.Fprintf(out, "< %d\n", resp.StatusCode)
	for _, name := range []string{"Content-Type", "Primrose-Request-Id", "Primrose-Outcome", "Primrose-Place", "Cache-Control"} {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(out, "< %s: %s\n", name, v)
		}
	}
	fmt.Fprintf(out, "%s\n\n", strings.TrimRight(string(data), "\n"))
}

// TestCallerSession compares a caller's session, with its requests and answers as sent over
// HTTP, with a golden file.
func TestCallerSession(t *testing.T) {
	c := startCluster(t, defaultSpec())
	d, other := c.daemons[0], c.daemons[1]
	var out strings.Builder
	d.exchange(&out, "GET", "/v1/models", "")
	d.exchange(&out, "POST", "/v1/chat/completions", chatBody("r", "a transfer", 2, false), "Primrose-Request-Id", "mine-1")
	other.exchange(&out, "GET", "/v1/requests/mine-1", "")
	other.exchange(&out, "GET", "/v1/requests/mine-1?offset=40", "")
	other.exchange(&out, "GET", "/v1/requests/mine-1", "", "Authorization", "Bearer another caller")
	d.exchange(&out, "POST", "/v1/chat/completions", chatBody("r", "streamed", 2, true), "Primrose-Request-Id", "mine-2")
	d.exchange(&out, "POST", "/v1/chat/completions", chatBody("r", "something else", 2, true), "Primrose-Request-Id", "mine-2")
	d.exchange(&out, "POST", "/v1/chat/completions", `{"model":"r","messages":[`)
	d.exchange(&out, "POST", "/v1/chat/completions", `{"model":"unknown"}`)
	d.exchange(&out, "POST", "/v1/chat/completions", `{"model":"m"}`, "Primrose-Service", "review")
	d.exchange(&out, "POST", "/v1/chat/completions", `{"model":"m"}`, "Primrose-Class", "soon")
	d.exchange(&out, "POST", "/v1/chat/completions", `{"model":"m"}`, "Primrose-Timeout", "-1s")
	d.exchange(&out, "POST", "/services/parts/orders", "belt", "Idempotency-Key", "k1")
	other.exchange(&out, "POST", "/services/parts/orders", "belt", "Idempotency-Key", "k1")
	other.exchange(&out, "POST", "/services/parts/orders", "two belts", "Idempotency-Key", "k1")
	other.exchange(&out, "GET", "/services/parts/belts/7?size=2", "")
	d.exchange(&out, "GET", "/services/nothing/x", "")
	d.exchange(&out, "GET", "/v1/requests/never", "")
	golden.Assert(t, normalize(out.String()), "caller.golden")
}

// buildPrimrosectl builds primrosectl beside the daemon and returns its path.
func buildPrimrosectl(t *testing.T) string {
	t.Helper()
	ctl := filepath.Join(filepath.Dir(daemonBinary), "primrosectl")
	out, err := exec.Command("go", "build", "-o", ctl, "primroseward/cmd/primrosectl").CombinedOutput()
	assert.NilError(t, err, string(out))
	return ctl
}

// TestOperatorSession compares an operator's session with primrosectl, exit codes included,
// with a golden file.
func TestOperatorSession(t *testing.T) {
	c := startCluster(t, defaultSpec())
	ctl := buildPrimrosectl(t)
	var out strings.Builder
	run := func(stdin string, args ...string) {
		cmd := exec.Command(ctl, append([]string{"--admin", c.daemons[0].adminAddr, "--by", "nino"}, args...)...)
		cmd.Stdin = strings.NewReader(stdin)
		text, _ := cmd.CombinedOutput()
		fmt.Fprintf(&out, "$ primrosectl %s\n%s[exit %d]\n\n", strings.Join(args, " "), text, cmd.ProcessState.ExitCode())
	}
	node := `{"service":{"kind":"model"},"set":{"places":["south"],"concurrency":7},"children":{"model/m":{"model":{"version":"1","memory":"14GB"},"set":{}}}}`
	run("", "tree", "get", "/service/chat")
	run(node, "tree", "diff", "/service/chat", "-f", "-")
	run(node, "tree", "set", "/service/chat", "-f", "-", "--wait", "20s", "--note", "south only")
	run(node, "tree", "set", "/service/chat", "-f", "-", "--from", "1")
	run(`{"set":{"places":["north","west"],"concurrency":9,"rat":1}}`, "tree", "set", "/service/chat/place/south", "-f", "-")
	run(`{"set":{"places":["north"],"concurrency":9}}`, "tree", "set", "/service/chat/place/south", "-f", "-")
	run("", "tree", "explain", "-m", "m", "-p", "north")
	run("", "tree", "history", "/service/chat")
	run("", "runners", "drain", "e3", "--wait", "20s")
	run("", "runners", "resume", "e3")
	run("", "runners", "drain", "e9")
	run("", "moves", "pause")
	run("", "moves", "resume")
	run("", "tree", "history", "/")
	run("", "tree", "get", "/service/none")
	run("", "tree", "get", "/planet/x")
	run("{}", "tree", "set", "/service/chat")
	golden.Assert(t, normalize(out.String()), "operator.golden")
}

// TestCallerResumesAtAnotherEntry guards against a lost answer when a caller loses its
// connection for good in the middle of it, without an error on either side because a hop
// between them has dropped its state. The caller sends its request id and the number of
// bytes that it has to another entry; the two parts must make the complete answer, and the
// engine must have run the request once.
func TestCallerResumesAtAnotherEntry(t *testing.T) {
	c := startCluster(t, defaultSpec())
	proxy := newTCPProxy(t, c.daemons[0].callerAddr)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+proxy.addr().String()+"/v1/chat/completions", strings.NewReader(chatBody("m", "come back", 400, true)))
	assert.NilError(t, err)
	req.Header.Set("Primrose-Request-Id", "back-1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	var got []byte
	for len(got) < 2000 {
		line, err := in.ReadBytes('\n')
		assert.NilError(t, err)
		got = append(got, line...)
	}
	proxy.stall()
	r, err := c.daemons[1].send("GET", fmt.Sprintf("/v1/requests/back-1?offset=%d", len(got)), "")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK, r.body)
	whole := reply{status: http.StatusOK, body: string(got) + r.body}
	assert.NilError(t, checkAnswer(whole, "m", "come back", 400))
	runs := 0
	for _, e := range c.engines {
		for _, run := range e.Runs() {
			if run.Prompt == engine.Prompt("come back") {
				runs++
			}
		}
	}
	assert.Equal(t, runs, 1)
}

// TestHeldAnswersAreHandedOver guards against answers lost in a planned stop, when the
// entry that holds an answer stops before its caller comes back. The answer must be handed
// over to a daemon that stays.
func TestHeldAnswersAreHandedOver(t *testing.T) {
	c := startCluster(t, defaultSpec())
	first := c.daemons[0]
	bodies := map[string]string{}
	for i := range 12 { // the id decides by its hash which daemons keep the answer
		id := fmt.Sprint("kept-", i)
		r, err := first.chat("r", id, 5, false, "Primrose-Request-Id", id)
		assert.NilError(t, err)
		assert.NilError(t, checkAnswer(r, "r", id, 5))
		bodies[id] = r.body
	}
	first.signal(syscall.SIGTERM)
	c.waitFor("the daemon has stopped", 60*time.Second, first.exited)
	for _, d := range c.daemons[1:] {
		for id, body := range bodies {
			back, err := d.send("GET", "/v1/requests/"+id, "")
			assert.NilError(t, err)
			assert.Equal(t, back.body, body, "%s at %s", id, d.name)
		}
	}
}

// TestOversizedRequestsAreRefused guards against an entry that runs out of memory or
// goroutines when callers send without end or not at all. Each must get a clear answer.
func TestOversizedRequestsAreRefused(t *testing.T) {
	c := startCluster(t, defaultSpec())
	d := c.daemons[0]
	r, err := d.send("POST", "/services/parts/x", strings.Repeat("x", 9<<20))
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, r.outcome, "not_run")
	r, err = d.send("GET", "/services/parts/x", "", "Primrose-Request-Id", strings.Repeat("x", 200))
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusBadRequest)
	r, err = d.send("GET", "/services/parts/x", "", "X-Big", strings.Repeat("x", 200<<10))
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusRequestHeaderFieldsTooLarge)
	r, err = d.send("GET", "/services/parts/x", "")
	assert.NilError(t, err)
	assert.Equal(t, r.status, http.StatusOK)
}

// TestStalledRequestBodyTimesOut guards against a caller that stops in the middle of its
// request body and so occupies a connection, and resources of the entry, for ever.
func TestStalledRequestBodyTimesOut(t *testing.T) {
	p := newPair(t)
	handler := routers.New(p.entry, clockwork.NewRealClock(), zap.NewNop(), 1<<20, 100*time.Millisecond).Handler()
	srv := httptest.NewServer(handler)
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /services/parts/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nbel")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, resp.Header.Get("Primrose-Outcome"), "not_run")
	assert.Equal(t, len(p.parts.Runs()), 0)
}

// TestEngineStopsWhenItsCallerDisconnects guards against accelerators that go on with work
// whose answer nobody can receive: the caller has closed its connection and cannot come
// back, since it gave no id of its own.
func TestEngineStopsWhenItsCallerDisconnects(t *testing.T) {
	c := startCluster(t, defaultSpec())
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.daemons[1].callerAddr+"/v1/chat/completions", strings.NewReader(chatBody("m", "gone", 1000000, true)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	running := func() (n int) {
		for _, e := range c.engines {
			n += e.Running()
		}
		return n
	}
	c.waitFor("the engine works", 10*time.Second, func() bool { return running() == 1 })
	cancel()
	c.waitFor("the engine has stopped", 20*time.Second, func() bool { return running() == 0 })
}
