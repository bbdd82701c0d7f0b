package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"primroseward/coordination/claim"
	"primroseward/coordination/entry"
	"primroseward/coordination/member"
	"primroseward/coordination/owner"
	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/protocol/endpoint"
	"primroseward/protocol/peerv1/peerv1connect"
	"primroseward/standin/engine"
	"primroseward/standin/platform"
	plain "primroseward/standin/service"
	"primroseward/state/answer"
	"primroseward/state/directory"
	"primroseward/state/tree"
	"primroseward/transport/peer"
	"primroseward/transport/rpc"

	"go.uber.org/zap"
)

// tcpProxy forwards TCP connections and can make them stall or cut them.
type tcpProxy struct {
	to     string
	ln     net.Listener
	mu     sync.Mutex
	conns  []*proxiedConn
	passed atomic.Int64 // bytes forwarded to the side that opened the connection
	down   atomic.Bool  // new connections are closed at once
}

type proxiedConn struct {
	a, b    net.Conn
	stalled atomic.Bool
}

func newTCPProxy(t *testing.T, to string) *tcpProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &tcpProxy{to: to, ln: ln}
	go w.run()
	t.Cleanup(func() {
		_ = ln.Close()
		w.cut()
	})
	return w
}

func (w *tcpProxy) addr() netip.AddrPort { return netip.MustParseAddrPort(w.ln.Addr().String()) }

func (w *tcpProxy) run() {
	for {
		a, err := w.ln.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", w.to)
		if err != nil || w.down.Load() {
			_ = a.Close()
			continue
		}
		c := &proxiedConn{a: a, b: b}
		w.mu.Lock()
		w.conns = append(w.conns, c)
		w.mu.Unlock()
		go w.copy(c, a, b, nil)
		go w.copy(c, b, a, &w.passed)
	}
}

// copy forwards bytes, or discards them once the connection is stalled. A stalled
// connection does not forward the end of the stream either.
func (w *tcpProxy) copy(c *proxiedConn, from, to net.Conn, count *atomic.Int64) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if c.stalled.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if count != nil {
				count.Add(int64(n))
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// stall makes all present connections stall; new ones work.
func (w *tcpProxy) stall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.stalled.Store(true)
	}
}

func (w *tcpProxy) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.a.Close()
		_ = c.b.Close()
	}
}

// pair is an entry and an owner whose connections pass through a TCP proxy.
type pair struct {
	entry  *entry.Entry
	owner  *owner.Manager
	proxy  *tcpProxy
	engine *engine.Server
	parts  *plain.Server
}

func newMember(name string) core.Member {
	return core.Member{Name: name, DataCentre: name, Peer: netip.MustParseAddrPort("127.0.0.1:1"), Caller: netip.MustParseAddrPort("127.0.0.1:1"), Boot: 7}
}

// newPair connects an entry in data centre a to the owner of all runners in data centre b.
func newPair(t *testing.T) *pair {
	clock := clockwork.NewRealClock()
	p := &pair{engine: engine.New(engine.Config{
		Memory: 80 * gb, Slots: 8, TokenInterval: 2 * time.Millisecond,
		Resident: []core.Resident{{Model: "m", Version: "1", Bytes: 14 * gb, Ready: true}},
	}), parts: plain.New("p")}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() {
			s.CloseClientConnections()
			_ = s.Config.Close()
		})
		return s.Listener.Addr().String()
	}
	platformAddr := netip.MustParseAddrPort(serve(platform.New()))
	client := wire.New(platformAddr, clock, wire.WithRate(1000, 1000))
	replica := tree.NewReplica()
	dataCentres := []string{"a", "b"}
	root := &tree.Node{
		Set: tree.Settings{DataCentres: &dataCentres, StallTimeout: core.Duration(10 * time.Second)},
		Endpoints: map[string]tree.Endpoint{
			"e": {Addr: serve(p.engine), DataCentre: "b", Kind: tree.KindModel, Memory: 80 * gb, Slots: 8},
			"p": {Addr: serve(p.parts), DataCentre: "b", Kind: tree.KindPlain, Service: "parts", Slots: 8},
		},
	}
	parts := &tree.Node{Service: &tree.Service{Kind: tree.KindPlain}}
	models := &tree.Node{Model: &tree.Model{Version: "1", Memory: 14 * gb}}
	for i, branch := range []struct {
		name string
		node *tree.Node
	}{{tree.Root, root}, {"service/parts", parts}, {"model/m", models}} {
		body, err := json.Marshal(tree.BranchBody{Node: branch.node})
		assert.NilError(t, err)
		replica.Apply([]tree.Branch{{Name: branch.name, Version: uint64(i + 1), Body: body}})
	}
	assert.Assert(t, replica.Tree() != nil)
	tables := map[string]*member.Table{}
	for _, name := range dataCentres {
		tables[name] = member.NewTable(clock, newMember(name))
		for _, other := range dataCentres {
			tables[name].Merge(newMember(other))
		}
	}
	dir := directory.New(clock)
	pool, err := peer.NewPool(func(int) {})
	assert.NilError(t, err)
	connect := func(_ string, e tree.Endpoint) core.Endpoint {
		return endpoint.New(netip.MustParseAddrPort(e.Addr), clock)
	}
	// Reports skip the network and go directly to the single directory.
	p.owner = owner.New(replica, tables["b"], client, connect, clock, owner.WithDirectory(
		func(_ context.Context, _ core.Member, r []directory.Report) error { dir.Put(r); return nil },
		func(_ context.Context, key string) []directory.Report { return dir.Find(key) }))
	claims := claim.New(client, tables["a"], clock, zap.NewNop())
	claims.Start()
	remoteEntry := entry.New(replica, tables["b"], nil, p.owner, dir, claims, clock)
	h := &rpc.Handler{Table: tables["b"], Owner: p.owner, Entry: remoteEntry, Dir: dir, Clock: clock}
	server, err := peer.NewServer(h)
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	p.proxy = newTCPProxy(t, ln.Addr().String())
	dial := func(netip.AddrPort) peerv1connect.PeerClient { return pool.Dial(p.proxy.addr()) }
	p.entry = entry.New(replica, tables["a"], dial, p.owner, dir, claims, clock)
	p.owner.Start()
	p.entry.Start()
	t.Cleanup(func() {
		p.entry.Stop()
		p.owner.Stop()
		claims.Stop()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(dir.Find(directory.ModelKey("m"))) == 1 && len(dir.Find(directory.ServiceKey("parts"))) == 1 {
			return poll.Success()
		}
		return poll.Continue("no reports yet")
	}, pollWithin(10*time.Second)...)
	return p
}

func (p *pair) run(a *entry.Request) (string, error) {
	ctx := context.Background()
	a.ID, a.Scope, a.Method, a.Class = entry.NewID(), "t", http.MethodPost, core.ClassNormal
	a.Deadline = time.Now().Add(30 * time.Second)
	buf, err := p.entry.Begin(ctx, a)
	if err != nil {
		return "", err
	}
	return readAll(ctx, buf)
}

func readAll(ctx context.Context, buf *answer.Buffer) (string, error) {
	var out []byte
	for {
		data, whole, err := buf.Next(ctx, int64(len(out)))
		if err != nil || whole {
			return string(out), err
		}
		out = append(out, data...)
	}
}

func (p *pair) chat(prompt string, tokens int, repeatable bool) error {
	got, err := p.run(&entry.Request{Model: "m", Path: "/v1/chat/completions", Repeatable: repeatable, Stream: true, Body: []byte(chatBody("m", prompt, tokens, true))})
	if err != nil {
		return err
	}
	return checkAnswer(reply{status: http.StatusOK, body: got}, "m", prompt, tokens)
}

// TestStalledConnectionBetweenDaemons guards against callers that wait for ever or get a cut
// answer. The connection between entry and owner stalls for good, or is cut, in the middle
// of streams, again and again, while new connections work. Pings detect the fault, and the
// streams continue from their offset over a new connection; the engine must receive each
// request once, whether it is repeatable or not.
func TestStalledConnectionBetweenDaemons(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		for _, fault := range []string{"stalled", "cut"} {
			t.Run(fmt.Sprintf("%s, repeatable %t", fault, repeatable), func(t *testing.T) {
				p := newPair(t)
				errs := make([]error, 6)
				done := make(chan struct{})
				go func() {
					defer close(done)
					runConcurrently(len(errs), func(i int) { errs[i] = p.chat(fmt.Sprint("s", i), 1500, repeatable) })
				}()
				for range 2 {
					from := p.proxy.passed.Load()
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if p.proxy.passed.Load() > from+20000 {
							return poll.Success()
						}
						return poll.Continue("fewer than 20000 bytes forwarded yet")
					}, pollWithin(20*time.Second)...)
					if fault == "cut" {
						p.proxy.cut()
					} else {
						p.proxy.stall()
					}
				}
				<-done
				checkErrors(t, errs)
				assert.Equal(t, len(p.engine.Runs()), len(errs))
			})
		}
	}
}

// TestRefusalsAreTrueAtEveryCut guards against an answer that states that an order did not
// run although it did, and against an order that runs twice. The connection between entry
// and owner is cut at any moment of a dispatch: before, while or after the request is sent
// over it. The answer to the caller must agree with the log of the service itself.
func TestRefusalsAreTrueAtEveryCut(t *testing.T) {
	p := newPair(t)
	p.parts.SetFaults(plain.Faults{Delay: 5 * time.Millisecond})
	outcomes := map[string]int{}
	for i := range 40 {
		path := fmt.Sprint("/order/", i)
		stop := time.AfterFunc(time.Duration(i/2)*500*time.Microsecond, func() {
			p.proxy.down.Store(i%2 == 0)
			p.proxy.cut()
		})
		got, err := p.run(&entry.Request{Service: "parts", Path: path, Body: []byte("belt")})
		stop.Stop()
		p.proxy.down.Store(false)
		var re *core.RequestError
		runs := 0
		for _, r := range p.parts.Runs() {
			if r.Path == path {
				runs++
			}
		}
		switch {
		case err == nil:
			assert.Equal(t, runs, 1, got)
			outcomes["answered"]++
		case errors.As(err, &re) && re.Outcome == core.OutcomeNotRun:
			time.Sleep(20 * time.Millisecond) // time for a request still in transit to run
			assert.Equal(t, runs, 0, "%s: %v", path, err)
			outcomes["not run"]++
		default:
			assert.Assert(t, runs <= 1, "%s: %v", path, err)
			outcomes["may have run"]++
		}
	}
	t.Log(outcomes)
}
