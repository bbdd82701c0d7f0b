package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"primroseward/coordination/peers"
	"primroseward/core"
)

const (
	// confirmTimeout bounds the question to another daemon whether a runner answers it,
	// confirmResend is the interval at which it is sent again. peerProbeTimeout bounds the other
	// daemon's own attempt.
	confirmTimeout   = 250 * time.Millisecond
	confirmResend    = 80 * time.Millisecond
	peerProbeTimeout = 150 * time.Millisecond
	// connectTimeout bounds the attempt to connect to a runner whose answer has ended with its
	// connection. The end of the answer is held back meanwhile.
	connectTimeout = 150 * time.Millisecond
)

// errPath is the reason why a runner that refuses this daemon's connections counts as running.
var errPath = errors.New("the runner answers another daemon")

// confirmation is a question to another daemon whether an instance of a runner answers it.
type confirmation struct {
	Runner  string         `json:"runner"`
	Started time.Time      `json:"started"`
	Addr    netip.AddrPort `json:"addr"`
}

// Exited reports whether a runner's process has exited, or may have: no connection to it can be opened that stays open,
// and no other daemon reaches it.
func (q *Quarantine) Exited(ctx context.Context, r *core.Runner) bool {
	if q.connector == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return q.connector.Connect(ctx, r) != nil && !q.answersPeer(r)
}

// answersPeer asks another daemon whether a runner that refuses this daemon's connections answers
// there: a daemon that has lost its path to the runners takes all of them for exited. Without a
// reply the runner counts as exited.
func (q *Quarantine) answersPeer(r *core.Runner) bool {
	to, ok := q.confirmer()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(q.ctx, confirmTimeout)
	defer cancel()
	var answers bool
	err := q.net.Request(ctx, to, kindConfirm, confirmation{Runner: r.ID, Started: r.StartedAt, Addr: r.Addr}, &answers, confirmResend)
	return err == nil && answers
}

// confirmer returns a random other daemon that has a path to the runners, of another data centre
// if there is one, as a data centre may be cut off as a whole.
func (q *Quarantine) confirmer() (peers.Peer, bool) {
	self := q.net.Self()
	others := slices.DeleteFunc(slices.Clone(q.net.Alive()), func(p peers.Peer) bool {
		return p.Name == self.Name || p.Leaving || p.PathLost
	})
	if remote := slices.DeleteFunc(slices.Clone(others), func(p peers.Peer) bool { return p.DataCentre == self.DataCentre }); len(remote) > 0 {
		others = remote
	}
	if len(others) == 0 {
		return peers.Peer{}, false
	}
	return others[rand.IntN(len(others))], true
}

func (q *Quarantine) handleConfirm(from peers.Peer, body json.RawMessage, answer func(any)) {
	var c confirmation
	if !peers.Decode(q.log, from, body, &c) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	q.wg.Add(1)
	go q.runConfirm(&core.Runner{ID: c.Runner, StartedAt: c.Started, Addr: c.Addr}, answer)
}

// runConfirm finds out whether an instance of a runner answers this daemon. A plain service need
// not know the request for its state, but its answer shows that it runs.
func (q *Quarantine) runConfirm(r *core.Runner, answer func(any)) {
	defer q.wg.Done()
	ctx, cancel := context.WithTimeout(q.ctx, peerProbeTimeout)
	defer cancel()
	report, err := q.prober.Report(ctx, r)
	switch {
	case err == nil:
		answer(report.StartedAt.IsZero() || report.StartedAt.Equal(r.StartedAt))
	case errors.Is(err, core.ErrNoListener), errors.Is(err, core.ErrReplaced):
		answer(false)
	case errors.Is(err, core.ErrUnavailable):
		answer(true)
	}
}
