// Package load keeps how busy the runners are, as far as this daemon can know:
// its own requests exactly, the other daemons' as they last told.
package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"primroseward/core"
)

const (
	// peerMemory is how long another daemon's count holds without a new one.
	peerMemory = 2 * time.Second
	// reportMemory is how long the load that a runner reported is used.
	reportMemory = 500 * time.Millisecond
	// penaltyStep is what one failed attempt adds to a runner's cost, in parts
	// of its slots; it halves every penaltyHalf, so that the runner is probed
	// back by a few requests first.
	penaltyStep = 0.5
	penaltyHalf = 1500 * time.Millisecond
	penaltyMax  = 4
	// downMemory is how long a runner counts as down after a connection to it was
	// refused: its entry lapses after three heartbeats of 1.2 s of silence.
	downMemory = 4 * time.Second
	// probeEvery is how often a runner that counts as down may be tried with a request
	// that no other runner can serve.
	probeEvery = 3 * time.Second
	// toldMemory is how long another daemon's word of that holds without being
	// repeated: two beats between places and a lost one.
	toldMemory = time.Second
)

// Others stands in Heard for the other daemons of this place of a large fleet.
const Others = ""

// Table holds the loads.
type Table struct {
	clock core.Clock

	mu    sync.Mutex
	own   map[string]*int // requests in progress from here
	fails map[string]fail
	peers map[string]peer
	said  map[string]said
	heard map[string]time.Time    // when a runner last sent anything
	down  map[string]time.Time    // when a connection to a runner was last refused, here
	told  map[core.Code]time.Time // the same, as another daemon has told
	tried map[string]time.Time    // when a runner that was down was last tried all the same
}

type peer struct {
	at     time.Time
	counts map[core.Code]int
}

type said struct {
	at   time.Time
	load core.Load
	own  int // requests in progress from here when it was said
}

type fail struct {
	at    time.Time
	value float64
}

// New returns an empty Table.
func New(clock core.Clock) *Table {
	return &Table{clock: clock, own: map[string]*int{}, fails: map[string]fail{}, peers: map[string]peer{}, said: map[string]said{}, heard: map[string]time.Time{}, down: map[string]time.Time{}, told: map[core.Code]time.Time{}, tried: map[string]time.Time{}}
}

// Begin counts a request sent to a runner, until end is called. A count begins with
// each life of the runner: an end of a request to an earlier one must not lower it.
func (t *Table) Begin(runner string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.own[runner]
	if n == nil {
		n = new(int)
		t.own[runner] = n
	}
	*n++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if *n--; *n == 0 && t.own[runner] == n {
			delete(t.own, runner)
		}
	})
}

// ownOf is this daemon's requests in progress at a runner; the caller holds the lock.
func (t *Table) ownOf(runner string) int {
	if n := t.own[runner]; n != nil {
		return *n
	}
	return 0
}

// Restarted drops all that is known of a runner that has started again under its id:
// none of the requests that were in progress there is.
func (t *Table) Restarted(runner string) {
	t.Forget(runner)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.own, runner)
	for _, p := range t.peers {
		delete(p.counts, core.CodeOf(runner))
	}
}

// Said takes in the load that a runner told on an answer.
func (t *Table) Said(runner string, l core.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.said[runner] = said{at: t.clock.Now(), load: l, own: t.ownOf(runner)}
}

// Note takes in that a runner has sent something.
func (t *Table) Note(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[runner] = t.clock.Now()
}

// LastHeard is when a runner last sent anything to this daemon.
func (t *Table) LastHeard(runner string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard[runner]
}

// Forget drops what is known of a runner that is gone.
func (t *Table) Forget(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.said, runner)
	delete(t.fails, runner)
	delete(t.heard, runner)
	t.up(runner)
}

// up takes in that a runner is not down; the caller holds the lock.
func (t *Table) up(runner string) {
	delete(t.down, runner)
	delete(t.tried, runner)
	delete(t.told, core.CodeOf(runner))
}

// Refused takes in that a connection to a runner was refused: its process has ended.
// It says whether that was not known.
func (t *Table) Refused(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	known := t.isDown(runner, now)
	t.down[runner] = now
	return !known
}

// Answered takes in that a runner has begun an answer: it is not down.
func (t *Table) Answered(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up(runner)
}

// Probe says whether a runner that is down may be tried with a request now, and counts
// it as tried. It may have been taken for down wrongly.
func (t *Table) Probe(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if at, ok := t.tried[runner]; ok && now.Sub(at) < probeEvery {
		return false
	}
	t.tried[runner] = now
	return true
}

// Down says whether a connection to a runner was refused lately, here or at another
// daemon. Its entry stands for some seconds after its end; to go by it leaves the
// runner's models unreachable for that long.
func (t *Table) Down(runner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isDown(runner, t.clock.Now())
}

// isDown is Down at a time; the caller holds the lock.
func (t *Table) isDown(runner string, now time.Time) bool {
	at, ok := t.down[runner]
	if ok && now.Sub(at) < downMemory {
		return true
	}
	at, ok = t.told[core.CodeOf(runner)]
	return ok && now.Sub(at) < toldMemory
}

// OwnDown are the runners that have refused connections of this daemon lately.
func (t *Table) OwnDown() []core.Code {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []core.Code
	for id, at := range t.down {
		if now.Sub(at) < downMemory {
			out = append(out, core.CodeOf(id))
		}
	}
	slices.Sort(out)
	return out
}

// HeardDown takes in the runners that another daemon counts as down.
func (t *Table) HeardDown(runners []core.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, code := range runners {
		t.told[code] = now
	}
	maps.DeleteFunc(t.told, func(_ core.Code, at time.Time) bool { return now.Sub(at) >= toldMemory })
}

// Failed marks a runner for an attempt that failed there.
func (t *Table) Failed(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.fails[runner] = fail{at: now, value: min(penaltyMax, t.fails[runner].left(now)+penaltyStep)}
}

// Worked takes most of a runner's mark away.
func (t *Table) Worked(runner string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.fails[runner]
	if !ok {
		return
	}
	now := t.clock.Now()
	if f.value = f.left(now) / 2; f.value < penaltyStep/4 {
		delete(t.fails, runner)
		return
	}
	t.fails[runner] = fail{at: now, value: f.value}
}

func (f fail) left(now time.Time) float64 {
	halvings := now.Sub(f.at) / penaltyHalf
	if halvings > 10 {
		return 0
	}
	return f.value / float64(int(1)<<halvings)
}

// Own returns this daemon's requests in progress by runner.
func (t *Table) Own() map[core.Code]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[core.Code]int, len(t.own))
	for id, n := range t.own {
		out[core.CodeOf(id)] += *n
	}
	return out
}

// Heard takes in another daemon's counts, or under the name of Others the sum of what
// the daemons of the place have told.
func (t *Table) Heard(daemon string, counts map[core.Code]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[daemon] = peer{at: t.clock.Now(), counts: maps.Clone(counts)}
}

// View is what is known of a runner's load.
type View struct {
	Requests int     // in progress, from all daemons
	Penalty  float64 // for attempts that failed lately, in parts of its slots
	Down     bool    // has refused a connection lately, see Table.Down
}

// View returns what is known of a runner. Of two estimates of its requests the higher
// counts: what all daemons have told, and what the runner has told with what this
// daemon has sent since.
func (t *Table) View(runner string) View {
	code := core.CodeOf(runner)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	sum := t.ownOf(runner)
	for _, p := range t.peers {
		if now.Sub(p.at) < peerMemory {
			sum += p.counts[code]
		}
	}
	if s, ok := t.said[runner]; ok && now.Sub(s.at) < reportMemory {
		sum = max(sum, s.load.Running+s.load.Waiting+t.ownOf(runner)-s.own)
	}
	return View{Requests: sum, Penalty: t.fails[runner].left(now), Down: t.isDown(runner, now)}
}
