package intake_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/transport/intake"
)

// serveCalls starts a server of calls, of which those to /reserved are served while others take up all memory, and returns
// what makes one.
func serveCalls(t *testing.T, memory int64, whole func(*http.Request)) (*intake.Intake, func(path string, body io.Reader) int) {
	t.Helper()
	in := intake.New(intake.Limits{Memory: memory}, clockwork.NewRealClock(), zap.NewNop())
	srv := httptest.NewUnstartedServer(in.Calls(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusRequestTimeout)
			return
		}
		whole(r)
	}), func(r *http.Request) bool { return r.URL.Path == "/reserved" }))
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	srv.Config.Protocols = p
	srv.Listener = in.Listen(srv.Listener, intake.Port{Share: 1, Multiplexed: true})
	srv.Start()
	t.Cleanup(srv.Close)
	client := &http.Client{Transport: &http.Transport{Protocols: p}}
	t.Cleanup(client.CloseIdleConnections)
	return in, func(path string, body io.Reader) int {
		resp, err := client.Post(srv.URL+path, "application/octet-stream", body)
		if !assert.Check(t, err) {
			return 0
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
}

// TestReservedCallsBesideOthers guards against calls that daemons need to stay together, and that are refused while requests take up
// all memory.
func TestReservedCallsBesideOthers(t *testing.T) {
	const memory, most = 2 << 20, 100 // calls that there may be room for
	arrived, end, ended := make(chan struct{}, most), make(chan struct{}), make(chan int, most)
	_, call := serveCalls(t, memory, func(r *http.Request) {
		if r.URL.Path == "/held" {
			arrived <- struct{}{}
			<-end
		}
	})
	var held sync.WaitGroup
	for full := false; !full; {
		held.Go(func() { ended <- call("/held", strings.NewReader("x")) })
		select {
		case <-arrived:
		case status := <-ended:
			assert.Check(t, status == http.StatusServiceUnavailable, "%d", status)
			full = true
		}
	}
	for range 50 {
		assert.Check(t, call("/reserved", strings.NewReader("x")) == http.StatusOK)
	}
	close(end)
	held.Wait()
}

// TestCallsThatStallMakeRoom guards against calls of daemons that are refused for as long as others, whose messages are
// never whole, take up the memory, and against calls that are ended although their message is whole.
func TestCallsThatStallMakeRoom(t *testing.T) {
	const size, memory = 150 << 10, 500 << 10
	arrived, end := make(chan struct{}, 1), make(chan struct{})
	in, call := serveCalls(t, memory, func(r *http.Request) {
		if r.URL.Path == "/held" {
			arrived <- struct{}{}
			<-end
		}
	})
	whole := strings.Repeat("x", size)
	held, stalled := make(chan int, 1), make(chan int, 1)
	go func() { held <- call("/held", strings.NewReader(whole)) }()
	<-arrived
	never, more := io.Pipe()
	defer more.Close()
	go func() { stalled <- call("/stalled", never) }()
	_, err := io.WriteString(more, whole)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if in.Budget().Used() < 2*size {
			return poll.Continue("%d bytes are held", in.Budget().Used())
		}
		return poll.Success()
	})
	time.Sleep(intake.StallTime)
	assert.Equal(t, call("/next", strings.NewReader(whole)), http.StatusOK)
	assert.Equal(t, <-stalled, http.StatusRequestTimeout)
	close(end)
	assert.Equal(t, <-held, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := in.Budget().Used(); used != 0 {
			return poll.Continue("%d bytes are still held", used)
		}
		return poll.Success()
	})
}
