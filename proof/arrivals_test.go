package proof

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/core"
	wire "primroseward/platform"
	"primroseward/standin/runner"
)

// TestRepeatsThatArriveTogetherStayInBudget guards against retries of many windows that arrive in one, as runners that
// stood still take up all that was sent to them meanwhile.
func TestRepeatsThatArriveTogetherStayInBudget(t *testing.T) {
	const (
		calm = 8 * time.Second // before runners stand still
		rest = 12 * time.Second
	)
	reject := func(r *runner.Server) { r.Reject() }
	accept := func(r *runner.Server) { r.Accept() }
	var turn atomic.Int64
	for _, tt := range []struct {
		name     string
		short    bool // it is always played
		daemons  int
		interval time.Duration // between two requests
		streams  bool
		still    int // of six runners
		length   time.Duration
		stagger  time.Duration          // between two runners
		others   func(r *runner.Server) // what the other runners do; nil: they serve
		then     func(r *runner.Server) // what all do afterwards; nil: they serve
		rounds   int
		every    time.Duration // between two troubles of the daemons; 0: none
		trouble  func(c *fleetCluster)
	}{
		{"streams leave three", false, 4, steadyInterval, true, 3, 20 * time.Second, 0, nil, nil, 1, 0, nil},
		{"streams leave four", true, 4, steadyInterval, true, 4, 20 * time.Second, 0, nil, nil, 1, 0, nil},
		{"streams leave five", false, 4, steadyInterval, true, 5, 20 * time.Second, 0, nil, nil, 1, 0, nil},
		{"streams leave four, much traffic", false, 8, 10 * time.Millisecond, true, 4, 15 * time.Second, 0, nil, nil, 1, 0, nil},
		{"one after the other", false, 4, steadyInterval, true, 5, 24 * time.Second, 4 * time.Second, nil, nil, 1, 0, nil},
		{"all again and again", false, 4, steadyInterval, true, 6, 5 * time.Second, 0, nil, nil, 4, 0, nil},
		{"rejections", true, 8, 8 * time.Millisecond, false, 4, 9 * time.Second, 0, reject, reject, 1, 0, nil},
		{"rejections, little traffic", false, 4, 25 * time.Millisecond, false, 4, 8 * time.Second, 0, reject, reject, 1, 0, nil},
		{"rejections, then all serve", false, 8, 8 * time.Millisecond, false, 4, 9 * time.Second, 0, reject, accept, 1, 0, nil},
		{"all killed", false, 4, steadyInterval, true, 4, 20 * time.Second, 0, nil, nil, 1, 3 * time.Second, (*fleetCluster).restartAll},
		{"all killed seldom", false, 4, steadyInterval, true, 4, 24 * time.Second, 0, nil, nil, 1, 9 * time.Second, (*fleetCluster).restartAll},
		{"killed in turn", false, 4, steadyInterval, true, 4, 20 * time.Second, 0, nil, nil, 1, time.Second, func(c *fleetCluster) {
			c.daemons[int(turn.Add(1))%len(c.daemons)].restart(c)
		}},
	} {
		if !tt.short && os.Getenv("PRIMROSE_FUZZ") == "" {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := startFleet(t, tt.daemons)
			c.addFurtherRunners()
			service := "app"
			if tt.streams {
				service = "gen"
			}
			length := calm + rest + time.Duration(tt.rounds)*(tt.length+time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), length)
			defer cancel()
			go func() {
				core.Sleep(ctx, clockwork.NewRealClock(), calm)
				for range tt.rounds {
					c.standStill(ctx, service, tt.still, tt.length, tt.stagger, tt.others)
					core.Sleep(ctx, clockwork.NewRealClock(), time.Second)
				}
				if tt.then == nil {
					return
				}
				for _, r := range c.runners {
					tt.then(r)
				}
			}()
			var wg sync.WaitGroup
			wg.Go(func() {
				if tt.trouble == nil {
					return
				}
				core.Sleep(ctx, clockwork.NewRealClock(), calm)
				for until := time.Now().Add(time.Duration(tt.rounds) * tt.length); time.Now().Before(until); {
					core.Sleep(ctx, clockwork.NewRealClock(), tt.every)
					tt.trouble(c)
				}
			})
			load := c.sendSteadily(ctx, tt.streams, tt.interval)
			wg.Wait()
			began := load.sent[service][0]
			log, beyond, late := c.serviceLog(service, load.sent[service])
			worst := fleetBudget.Worst(log)
			t.Logf("%s: %.2f of the bound, %s, from %v; %d repeats, %d taken, %d of %d served, %d late", t.Name(), float64(worst.Repeats)/worst.Allowed, worst, worst.From.Sub(began).Round(time.Millisecond), log.Repeats(), c.retriesTaken(), load.served, load.total, late)
			assert.Check(t, log.Repeats() > 0)
			assert.Check(t, tt.streams || late <= max(maxLate, log.Repeats()/5), "%d runs were given more time than their caller had", late)
			assert.Check(t, worst.Excess() <= 0, "%s", worst)
			assert.Check(t, beyond == 0, "%d requests ran at more runners than allowed", beyond)
			assert.Check(t, log.Repeats() <= c.retriesTaken(), "%d repeats, %d taken", log.Repeats(), c.retriesTaken())
		})
	}
}

// standStill makes the first n runners of a service stand still, one after the other, until a time has passed.
func (c *fleetCluster) standStill(ctx context.Context, service string, n int, length, stagger time.Duration, others func(r *runner.Server)) {
	until := time.Now().Add(length)
	for _, r := range c.runners {
		switch {
		case r.Service != service:
		case n > 0:
			n--
			r.Silence(time.Until(until))
			core.Sleep(ctx, clockwork.NewRealClock(), stagger)
		case others != nil:
			others(r)
		}
	}
	core.Sleep(ctx, clockwork.NewRealClock(), time.Until(until))
}

// TestFrozenDaemonSendsNothingThatWasGivenUp guards against repeats that arrive long after they were given up: a daemon that goes
// on reads requests whose callers, or the daemons that passed them on, have closed their connections meanwhile.
func TestFrozenDaemonSendsNothingThatWasGivenUp(t *testing.T) {
	const (
		count    = 30
		frozen   = 5 * time.Second // longer than callers wait
		settling = time.Second
	)
	c := startForwardingFleet(t, 3)
	for _, tt := range []struct {
		name string
		to   int // the daemon that callers send to
		send func(d *fleetDaemon)
	}{
		{"passed on by another daemon", 0, func(d *fleetDaemon) { _, _, _ = d.send("/gen/x", "", "m1") }},
		{"from a caller", 1, func(d *fleetDaemon) {
			conn, err := net.Dial("tcp", d.callerAddr)
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /ask/x HTTP/1.1\r\nHost: h.example\r\n%s: q%d\r\n%s: 4000\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, requestSerial.Add(1), wire.HeaderTimeout)
			time.Sleep(time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var daemon, callers sync.WaitGroup
			daemon.Go(func() { c.daemons[1].freeze(frozen) })
			time.Sleep(50 * time.Millisecond) // until it stands still
			for range count {
				callers.Go(func() { tt.send(c.daemons[tt.to]) })
			}
			callers.Wait()
			arrived := len(c.app.Arrivals()) + len(c.gen.Arrivals())
			daemon.Wait()
			time.Sleep(settling)
			late := len(c.app.Arrivals()) + len(c.gen.Arrivals()) - arrived
			t.Logf("%d of %d arrived after they were given up", late, count)
			assert.Equal(t, late, 0)
		})
	}
}
