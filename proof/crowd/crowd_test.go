package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/core"
	wire "primroseward/platform"
)

// crowdCase is a crowd at one of a daemon's addresses.
type crowdCase struct {
	name string
	at   func(d *daemon) string
	size int
	act  behaviour
}

func atCaller(d *daemon) string    { return d.caller }
func atDirectory(d *daemon) string { return d.directory }
func atReady(d *daemon) string     { return d.ready }
func atAdmin(d *daemon) string     { return d.admin }
func atPeer(d *daemon) string      { return d.peer }

// testCrowd plays a crowd, checks what the daemon holds meanwhile, and sends ordinary requests afterwards.
func testCrowd(t *testing.T, d *daemon, tt crowdCase) {
	t.Helper()
	check := d.watch()
	c := gather(tt.at(d), tt.size, tt.act)
	time.Sleep(crowdTime)
	c.leave()
	check(t)
	if d.alive() {
		d.awaitOrdinary("small")
		d.awaitOrdinary(strings.Repeat("x", bodyLimit*9/10))
	}
}

// TestCrowdsOfCallers guards against a daemon that runs out of memory or descriptors as callers send heads and bodies
// that are odd, over the limits, without end, or never whole.
func TestCrowdsOfCallers(t *testing.T) {
	const path = "/ask/x"
	oversize := fill(start(path, 0), largeHead, distinctLine)
	for _, tt := range []crowdCase{
		{"heads over the limit", atCaller, crowdSize, headOf(path, largeHead, distinctLine, "\r\n")},
		{"whole requests in a row, answers not read", atCaller, crowdSize, wholeRequests(path, 40, false)},
		{"whole requests again and again", atCaller, crowdSize, wholeRequests(path, 1_000, true)},
		{"whole requests for a slow service", atCaller, crowdSize, wholeRequests("/late/x", 1, true)},
		{"heads, bodies lack a byte", atCaller, crowdSize, headOf(path, legalHead, distinctLine, lengthOf(10)+"\r\n123456789")},
		{"heads of one line, bodies lack a byte", atCaller, crowdSize, headOf(path, legalHead, sameLine, lengthOf(10)+"\r\n123456789")},
		{"heads without their end", atCaller, crowdSize, headOf(path, legalHead, distinctLine, "")},
		{"long ids for no route, answers not read", atCaller, crowdSize, longIDs(300)},
		{"bodies lack a byte", atCaller, crowdSize, bodyShortOf(path, "", bodyLimit, false)},
		{"bodies in a chunk lack a byte", atCaller, crowdSize, bodyShortOf(path, "", bodyLimit, true)},
		{"bodies piece by piece", atCaller, crowdSize, bodyInPieces(path, 400_000, 4_000)},
		{"bodies for no route", atCaller, crowdSize, bodyShortOf("/none", "", bodyLimit, false)},
		{"bodies over the limit", atCaller, crowdSize, bodyShortOf(path, "", 8*bodyLimit, false)},
		{"chunks without end", atCaller, crowdSize, endlessBody(path, "400\r\n"+strings.Repeat("x", 0x400)+"\r\n")},
		{"chunks of a byte without end", atCaller, crowdSize, endlessBody(path, "1\r\nx\r\n")},
		{"chunk extensions without end", atCaller, crowdSize, endlessBody(path, "1;x")},
		{"trailers without end", atCaller, crowdSize, func(c net.Conn, n int) {
			if send(c, start(path, n)+chunked+"\r\n1\r\nx\r\n0\r\n") {
				repeat(c, "abc: d\r\n")
			}
		}},
		{"a field without end", atCaller, crowdSize, endlessHead(start(path, 0)+"X: ", "x")},
		{"lines without end", atCaller, crowdSize, endlessHead(start(path, 0), "abc: \r\n")},
		{"folded lines without end", atCaller, crowdSize, endlessHead(start(path, 0)+"X: y\r\n", " z\r\n")},
		{"a request line without end", atCaller, crowdSize, endlessHead("GET /", "x")},
		{"empty lines without end", atCaller, crowdSize, endlessHead("", "\r\n")},
		{"large heads in a row", atCaller, crowdSize, func(c net.Conn, _ int) { send(c, oversize+"\r\n"+oversize+"\r\n") }},
		{"more than descriptors, nothing sent", atCaller, largeCrowd, func(c net.Conn, _ int) { hold(c) }},
		{"more than descriptors, heads without their end", atCaller, largeCrowd, headOf(path, legalHead, distinctLine, "")},
		{"more than descriptors, bodies lack a byte", atCaller, largeCrowd, bodyShortOf(path, "", bodyLimit, false)},
	} {
		t.Run(tt.name, func(t *testing.T) { testCrowd(t, startFleet(t, smallMachine), tt) })
	}
}

// TestLargeAnswersThatAreNotRead guards against a daemon that keeps, or leaves unread, what runners answer to clients that
// read nothing.
func TestLargeAnswersThatAreNotRead(t *testing.T) {
	for _, tt := range []crowdCase{
		{"longer than may be held", atCaller, crowdSize, func(c net.Conn, n int) {
			if send(c, start("/big/x", n)+lengthOf(2)+"\r\nok") {
				hold(c)
			}
		}},
		{"held whole, in a row", atCaller, crowdSize, func(c net.Conn, n int) {
			if send(c, strings.Repeat(start("/full/x", n)+lengthOf(2)+"\r\nok", 40)) {
				hold(c)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) { testCrowd(t, startFleet(t, smallMachine), tt) })
	}
}

// TestCrowdsElsewhere guards against a daemon that runs out of memory or descriptors by what clients send to its other
// addresses.
func TestCrowdsElsewhere(t *testing.T) {
	for _, place := range []struct {
		name string
		at   func(*daemon) string
		path string
	}{
		{"directory", atDirectory, wire.PathDirectory + "?name=h.example"},
		{"readiness", atReady, wire.PathReady},
		{"metrics", atAdmin, "/metrics"},
		{"peer", atPeer, "/none"},
	} {
		for _, tt := range []crowdCase{
			{"heads over the limit", place.at, crowdSize, headOf(place.path, largeHead, distinctLine, "\r\n")},
			{"heads, bodies lack a byte", place.at, crowdSize, headOf(place.path, legalHead, distinctLine, lengthOf(10)+"\r\n123456789")},
			{"chunks without end", place.at, crowdSize, endlessBody(place.path, "400\r\n"+strings.Repeat("x", 0x400)+"\r\n")},
			{"more than descriptors, nothing sent", place.at, largeCrowd, func(c net.Conn, _ int) { hold(c) }},
		} {
			t.Run(place.name+", "+tt.name, func(t *testing.T) { testCrowd(t, startFleet(t, smallMachine), tt) })
		}
	}
	for _, tt := range []crowdCase{
		{"forwarded heads, bodies lack a byte", atPeer, crowdSize, forwarded(legalHead, 10)},
		{"forwarded bodies lack a byte", atPeer, crowdSize, forwarded(400, bodyLimit)},
	} {
		t.Run(tt.name, func(t *testing.T) { testCrowd(t, startFleet(t, smallMachine), tt) })
	}
}

// TestCrowdsAtTheNativeInterface guards against the same where the daemon serves the product's own interface.
func TestCrowdsAtTheNativeInterface(t *testing.T) {
	const path = "/services/parts/x"
	for _, tt := range []crowdCase{
		{"heads over the limit", atCaller, crowdSize, headOf(path, largeHead, distinctLine, "\r\n")},
		{"heads, bodies lack a byte", atCaller, crowdSize, headOf(path, legalHead, distinctLine, lengthOf(10)+"\r\n123456789")},
		{"bodies lack a byte", atCaller, crowdSize, bodyShortOf(path, "", bodyLimit, false)},
		{"long ids, answers not read", atCaller, crowdSize, longIDs(300)},
		{"whole requests in a row, answers not read", atCaller, crowdSize, wholeRequests(path, 40, false)},
		{"large bodies, answers not read", atCaller, crowdSize, func(c net.Conn, n int) {
			const size = 900_000
			for send(c, start(path, n)+lengthOf(size)+"\r\n"+strings.Repeat("x", size)) {
			}
		}},
		{"long answers, not read", atCaller, crowdSize, func(c net.Conn, n int) {
			if send(c, start("/services/parts/long", n)+lengthOf(2)+"\r\nok") {
				hold(c)
			}
		}},
		{"long answers, read", atCaller, crowdSize, func(c net.Conn, n int) {
			if send(c, start("/services/parts/long", n)+lengthOf(2)+"\r\nok") {
				readAll(c)
			}
		}},
		{"answers kept for clients that come back", atCaller, crowdSize / 20, keptAnswers(path, 300_000)},
		{"more than descriptors, nothing sent", atCaller, largeCrowd, func(c net.Conn, _ int) { hold(c) }},
		{"operators, heads over the limit", atAdmin, crowdSize, headOf("/metrics", largeHead, distinctLine, "\r\n")},
		{"operators, bodies lack a byte", atAdmin, crowdSize, bodyShortOf("/admin/tree", "", 8*bodyLimit, false)},
		{"operators, bodies in a chunk lack a byte", atAdmin, crowdSize, bodyShortOf("/admin/tree", "", 8*bodyLimit, true)},
		{"peer, heads over the limit", atPeer, crowdSize, headOf("/none", largeHead, distinctLine, "\r\n")},
		{"peer, more than descriptors, nothing sent", atPeer, largeCrowd, func(c net.Conn, _ int) { hold(c) }},
		{"peer, messages lack a byte", atPeer, crowdSize, calls(1, 0, bodyLimit)},
		{"peer, messages without end", atPeer, crowdSize, calls(1, 0, -1)},
		{"peer, many calls with large heads", atPeer, crowdSize, calls(20, 60_000, 1_000)},
	} {
		t.Run(tt.name, func(t *testing.T) { testCrowd(t, startNative(t), tt) })
	}
}

// TestCrowdAtTheSizeOfAMachine guards against bounds that hold on a small machine only.
func TestCrowdAtTheSizeOfAMachine(t *testing.T) {
	const size = 3_800
	testCrowd(t, startFleet(t, usualMachine), crowdCase{"", atCaller, size, headOf("/ask/x", legalHead, distinctLine, lengthOf(10)+"\r\n123456789")})
}

// TestOrdinaryRequestsBesideACrowd guards against a crowd in all places, beside which nobody else is answered: neither
// callers nor the platform nor operators.
func TestOrdinaryRequestsBesideACrowd(t *testing.T) {
	for _, tt := range []struct {
		crowdCase
		body int
	}{
		{crowdCase{"more than descriptors, nothing sent", atCaller, largeCrowd, func(c net.Conn, _ int) { hold(c) }}, 100},
		{crowdCase{"more than descriptors, heads without their end", atCaller, largeCrowd, headOf("/ask/x", legalHead, distinctLine, "")}, 100},
		{crowdCase{"large bodies lack a byte", atCaller, crowdSize, bodyShortOf("/ask/x", "", bodyLimit, false)}, bodyLimit * 9 / 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := startFleet(t, smallMachine)
			c := gather(tt.at(d), tt.size, tt.act)
			defer c.leave()
			time.Sleep(crowdTime / 3)
			d.awaitOrdinary(strings.Repeat("x", tt.body))
			for _, url := range []string{"http://" + d.ready + wire.PathReady, "http://" + d.directory + wire.PathDirectory + "?name=h.example", "http://" + d.admin + "/metrics"} {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if status := callJSON(http.MethodGet, url, nil); status != http.StatusOK {
						return poll.Continue("%s: status %d", url, status)
					}
					return poll.Success()
				}, poll.WithTimeout(settleTime))
			}
		})
	}
}

// TestStreamsBesideACrowd guards against streams in progress that are cut as a crowd takes up places and memory.
func TestStreamsBesideACrowd(t *testing.T) {
	const streams = 4
	for _, tt := range []crowdCase{
		{"more than descriptors, heads without their end", atCaller, largeCrowd, headOf("/ask/x", legalHead, distinctLine, "")},
		{"large bodies lack a byte", atCaller, crowdSize, bodyShortOf("/ask/x", "", bodyLimit, false)},
		{"whole requests, answers not read", atCaller, crowdSize, wholeRequests("/ask/x", 40, false)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := startFleet(t, smallMachine)
			var all sync.WaitGroup
			for i := range streams {
				request := start("/gen/x", i) + wire.HeaderModel + ": m1\r\n" + lengthOf(2) + "\r\nok"
				resp := exchange(t, d.caller, request)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				all.Go(func() {
					body, err := io.ReadAll(resp.Body)
					assert.Check(t, err)
					assert.Check(t, strings.Contains(string(body), fmt.Sprintf("id: %d\n", streamEvents)), "%d bytes", len(body))
				})
			}
			check := d.watch()
			c := gather(tt.at(d), tt.size, tt.act)
			all.Wait()
			c.leave()
			check(t)
		})
	}
}

// TestOperatorsBesideWholeRequests guards against whole requests inside the limits that take up all memory for requests, so
// that the platform, operators and other daemons are refused.
func TestOperatorsBesideWholeRequests(t *testing.T) {
	const (
		size   = 450 // connections, below the places for callers
		larger = 250 // those of them with a larger body
		probes = 20
	)
	d := startFleet(t, smallMachine)
	check := d.watch()
	c := gather(d.caller, size, func(c net.Conn, n int) {
		body := 10
		if n < larger {
			body = 60_000
		}
		if send(c, start("/held/x", n)+lengthOf(body)+"\r\n"+strings.Repeat("x", body)) {
			hold(c)
		}
	})
	defer c.leave()
	time.Sleep(crowdTime / 3)
	for i := range probes {
		for _, url := range []string{d.ready + wire.PathReady, d.directory + wire.PathDirectory + "?name=h.example", d.admin + "/metrics", d.peer + "/departures"} {
			resp, err := client.Get("http://" + url)
			if !assert.Check(t, err, url) {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			assert.Check(t, resp.StatusCode == http.StatusOK, "%d: %s: status %d", i, url, resp.StatusCode)
		}
	}
	check(t)
}

// TestStopBesideACrowd guards against a daemon that does not end when it is told to, as a crowd keeps its connections.
func TestStopBesideACrowd(t *testing.T) {
	for _, tt := range []crowdCase{
		{"heads without their end", atCaller, crowdSize, headOf("/ask/x", legalHead, distinctLine, "")},
		{"bodies lack a byte", atCaller, crowdSize, bodyShortOf("/ask/x", "", bodyLimit, false)},
		{"answers not read", atCaller, crowdSize, wholeRequests("/ask/x", 40, false)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := startFleet(t, smallMachine)
			c := gather(tt.at(d), tt.size, tt.act)
			defer c.leave()
			time.Sleep(crowdTime / 3)
			d.signal(syscall.SIGTERM)
			select {
			case <-d.exited:
			case <-time.After(settleTime):
			}
			assert.Assert(t, !d.alive(), "the process goes on")
			assert.Equal(t, d.cmd.ProcessState.ExitCode(), 0)
		})
	}
}

// TestStartIntoACrowd guards against a daemon that serves nobody, or runs out of memory, as a crowd is there before it has a
// configuration.
func TestStartIntoACrowd(t *testing.T) {
	d := newDaemon(t, smallMachine)
	c := gather(d.caller, crowdSize, headOf("/ask/x", legalHead, distinctLine, lengthOf(10)+"\r\n123456789"))
	defer c.leave()
	d.runFleet()
	check := d.watch()
	time.Sleep(crowdTime / 2)
	d.configure()
	time.Sleep(crowdTime / 2)
	check(t)
	d.awaitOrdinary("small")
}

// TestLegalRequestsAreServedInCalm guards against a request inside the limits that is refused for the form of its head.
func TestLegalRequestsAreServedInCalm(t *testing.T) {
	d := startFleet(t, smallMachine)
	for _, tt := range []struct {
		name string
		line func(i int) string
	}{
		{"names all different", distinctLine},
		{"no space before a value", func(i int) string { return distinctName(i) + ":\r\n" }},
		{"one name again and again", func(int) string { return "a:\r\n" }},
		{"spaces before a value", func(i int) string { return distinctName(i) + ":" + strings.Repeat(" ", 60) + "v\r\n" }},
		{"one long value", func(i int) string {
			return strings.Repeat("X-Long: "+strings.Repeat("v", 15_500)+"\r\n", max(0, 1-i)) + "a:\r\n"
		}},
	} {
		for _, size := range []int{10, bodyLimit} {
			t.Run(fmt.Sprint(tt.name, ", body of ", size), func(t *testing.T) {
				got := exchange(t, d.caller, fill(start("/ask/x", size), legalHead-100, tt.line)+lengthOf(size)+"\r\n"+strings.Repeat("x", size))
				assert.Equal(t, got.StatusCode, http.StatusOK)
			})
		}
	}
}

// TestForwardedHeadsMayGrow guards against a legal request that is refused because a daemon without a path has passed it on, which
// writes more bytes for each line than its caller.
func TestForwardedHeadsMayGrow(t *testing.T) {
	d := startFleet(t, smallMachine)
	const size = 100 << 10
	got := exchange(t, d.peer, fill(forwardedStart(1), size, func(int) string { return "A: \r\n" })+lengthOf(2)+"\r\nok")
	assert.Equal(t, got.StatusCode, http.StatusOK)
}

// TestRefusalsReachTheirCallers guards against refusals that are lost, as the connection is reset with what the client has
// sent still unread, and against requests that are never answered.
func TestRefusalsReachTheirCallers(t *testing.T) {
	d := startFleet(t, smallMachine)
	for _, tt := range []struct {
		name, request string
		status        int
	}{
		{"head over the limit", fill(start("/ask/x", 1), largeHead, distinctLine) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body over the limit", start("/ask/x", 2) + lengthOf(bodyLimit+1) + "\r\n" + strings.Repeat("x", bodyLimit+1), http.StatusRequestEntityTooLarge},
		{"body that is never whole", strings.Replace(start("/ask/x", 3), ": 20000", ": 500", 1) + lengthOf(10) + "\r\n123456789", http.StatusRequestTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := exchange(t, d.caller, tt.request)
			assert.Equal(t, got.StatusCode, tt.status)
			body, err := io.ReadAll(got.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(body), "not_run"), "%s", body)
		})
	}
}

// TestRefusalsOfTheNativeInterface guards against a refusal in another form than that of the interface.
func TestRefusalsOfTheNativeInterface(t *testing.T) {
	d := startNative(t)
	got := exchange(t, d.caller, fill(start("/services/parts/x", 1), largeHead, distinctLine)+"\r\n")
	assert.Equal(t, got.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, got.Header.Get(core.HeaderOutcome), string(core.OutcomeNotRun))
	body, err := io.ReadAll(got.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(body), `{"error":{`), "%s", body)
}

// exchange sends a text on a new connection and returns the answer.
func exchange(t *testing.T, addr, text string) *http.Response {
	t.Helper()
	conn, err := dial(addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(settleTime)))
	go func() { _, _ = io.WriteString(conn, text) }() // the answer may come before all has been written
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return resp
}
