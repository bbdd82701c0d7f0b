// Package watch keeps the catalog and the settings tree up to date with the platform's
// store. A few daemons watch the store; the others fetch snapshots from those.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"primroseward/core"
	"primroseward/io/logs"
	"primroseward/state/catalog"
	"primroseward/state/tree"
)

const (
	// minRetryPause and maxRetryPause bound the wait between two attempts while the store
	// fails. The configuration must be in force two seconds after its acknowledgement, so
	// the last attempt before the store's return must not be much more than half a second
	// earlier.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// lapseGrace is how long after the store's return a runner is kept although its entry
	// is missing: entries of live runners are back within about two seconds.
	lapseGrace = 2 * time.Second
	// maxPeerAge is how long after a peer was served the store counts as not having failed meanwhile. It is
	// far less than the time without a heartbeat after which entries lapse.
	maxPeerAge = time.Second
	// maxUnreadable bounds the unreadable entries that are remembered as reported.
	maxUnreadable = 1000
	sweepInterval = 100 * time.Millisecond
	// initialInterval is the pause between two attempts of a starting daemon to fetch a
	// peer's snapshot.
	initialInterval = 40 * time.Millisecond
	// failureExpiry is how long a daemon that does not watch counts the store as failing
	// after a failed call: about as long as the store's outages.
	failureExpiry = 5 * time.Second
	// watchHintDelay is how long a daemon that watches waits for its own watch to deliver
	// a change that a peer has reported.
	watchHintDelay = 150 * time.Millisecond
	// remoteHintDelay is how long a daemon that does not watch waits, after a peer of
	// another data centre has reported a change, for a peer of its own data centre to
	// report it. Otherwise each change would be sent to each daemon over the expensive links
	// between data centres, instead of once to each data centre.
	remoteHintDelay = 300 * time.Millisecond
	// followInterval is how often a daemon that does not watch checks whether it should:
	// those that did may have stopped.
	followInterval = 200 * time.Millisecond
	// settleTime is the pause after changes of runners before the next watch. Each answer
	// of a watch is a counted call of each daemon that watches; runners that change within
	// the pause cost one. It is a tenth of the two seconds within which a leaving runner
	// must get no more work.
	settleTime = 200 * time.Millisecond
)

// Reader decodes the store's objects.
type Reader struct {
	ConfigKind string
	ConfigName string
	RunnerKind string
	Config     func(body []byte) (*core.Config, error)
	Runner     func(id string, body []byte) (*core.Runner, error)
}

// Snapshot is a snapshot of a kind's objects as the store had them at a version: all of them,
// or, in an incremental snapshot, those that have changed after a version that its reader
// has.
type Snapshot struct {
	Version    uint64        `json:"version"`
	After      uint64        `json:"after,omitempty"` // 0: all objects
	Objects    []core.Object `json:"objects"`
	Deletions  []Deletion    `json:"gone,omitempty"` // since After
	LastChange uint64        `json:"change"`         // version of the kind's last change
	HealthyFor time.Duration `json:"healthy"`        // since the store last failed for the daemon that made the snapshot
	Stale      bool          `json:"stale"`          // the store fails for that daemon now
}

// Deletion is an object that was deleted at Version or earlier.
type Deletion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Fetch fetches a peer's snapshot of a kind with the changes after a version held here.
// The peer is the named one or, if name is empty, any, preferably one that reaches the
// store. Fetch fails with ErrUnavailable if no such peer can be reached.
type Fetch func(ctx context.Context, kind, name string, after uint64) (Snapshot, error)

// Watcher keeps the configuration, the runners and, if set, the settings tree up to date.
type Watcher struct {
	store         core.Platform
	reader        Reader
	fetch         Fetch
	catalog       *catalog.Catalog
	clock         core.Clock
	log           *zap.Logger
	mu            sync.Mutex
	kinds         map[string]*kindState
	runnersListed atomic.Bool
	unreadable    map[string]uint64 // versions of runners' entries that could not be read, by name
	settings      *tree.Replica     // nil: the settings tree is not watched
	watches       func() bool
	onChange      func(kind string)
	readsStore    func(age time.Duration) bool
	followPause   func() time.Duration // of a daemon that does not watch, after it has fetched the runners
	// onUnreadable is called for each version of a runner's entry that can't be read.
	onUnreadable func()
	wg           sync.WaitGroup
	stop         context.CancelFunc
}

// Option changes a Watcher.
type Option func(*Watcher)

// WithWatchCondition sets the function that returns whether this daemon watches the store itself.
// Daemons that do not watch fetch changes from those that do.
func WithWatchCondition(fn func() bool) Option { return func(w *Watcher) { w.watches = fn } }

// WithFollowPause sets how long a daemon that does not watch waits after a snapshot of the
// runners before it fetches the next one: all runners that change in that time cost one
// snapshot.
func WithFollowPause(fn func() time.Duration) Option { return func(w *Watcher) { w.followPause = fn } }

// WithSettings also keeps a replica of the operators' settings tree up to date.
func WithSettings(r *tree.Replica) Option {
	return func(w *Watcher) {
		w.settings = r
		w.addKind(core.KindTree)
	}
}

// WithChanged calls fn with the kind of the changes that a watch of this daemon reports, not
// for each change but at the end of the watch's answer.
func WithChanged(fn func(kind string)) Option { return func(w *Watcher) { w.onChange = fn } }

// WithReadStoreCondition sets the function that returns whether this daemon should read the store
// itself instead of waiting for its first snapshot from a peer; age is the time since its start.
func WithReadStoreCondition(fn func(age time.Duration) bool) Option {
	return func(w *Watcher) { w.readsStore = fn }
}

// WithUnreadable calls fn for each version of a runner's entry that can't be read.
func WithUnreadable(fn func()) Option { return func(w *Watcher) { w.onUnreadable = fn } }

// kindState is what this daemon holds of a kind.
type kindState struct {
	version        uint64 // all changes up to this version have been received
	lastChange     uint64 // version of the kind's last change
	objects        map[string]core.Object
	deletions      []Deletion // after the version deletionsSince, oldest first
	openDeletions  int        // the last ones of deletions: those of a watch's answer that has not ended
	deletionsSince uint64
	failing        bool      // the store counts as failing for this daemon
	failedAt       time.Time // when the store last failed, or returned after that
	// peerServedAt is when a peer last showed that the store serves it, peerFailedAt when the store had last
	// failed there.
	peerServedAt, peerFailedAt time.Time
	following                  bool               // this daemon does not watch the kind but fetches it from peers
	cancel                     context.CancelFunc // of the watch
	hint                       hint
	wake                       chan struct{} // wakes follow
	// confirmedAt is when the objects held were last confirmed to be the store's newest,
	// zero if never. It keeps its monotonic reading.
	confirmedAt time.Time
}

// hint is a peer's report of a change that this daemon does not have yet.
type hint struct {
	change         uint64
	from           string
	sameDataCentre bool
	at             time.Time // when the first change still missing was reported
	relisted       bool      // the watch was cancelled because of the hint
}

// New makes a Watcher.
func New(store core.Platform, reader Reader, fetch Fetch, c *catalog.Catalog, clock core.Clock, log *zap.Logger, opts ...Option) *Watcher {
	w := &Watcher{
		store: store, reader: reader, fetch: fetch, catalog: c, clock: clock, log: log, kinds: map[string]*kindState{}, unreadable: map[string]uint64{}, onUnreadable: func() {},
		watches: func() bool { return true }, onChange: func(string) {}, readsStore: func(time.Duration) bool { return true }, followPause: func() time.Duration { return settleTime },
	}
	for _, kind := range []string{reader.ConfigKind, reader.RunnerKind} {
		w.addKind(kind)
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

func (w *Watcher) addKind(kind string) {
	w.kinds[kind] = &kindState{objects: map[string]core.Object{}, cancel: func() {}, wake: make(chan struct{}, 1)}
}

// Start starts a goroutine for each kind and one that removes expired runners.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	for kind := range w.kinds {
		w.wg.Add(1)
		go w.run(ctx, kind)
	}
	w.wg.Add(1)
	go w.runSweep(ctx)
}

// Stop ends all goroutines and waits for them.
func (w *Watcher) Stop() {
	w.stop()
	w.wg.Wait()
}

// handleEvent handles one event of a watch. An event without a name ends an answer.
func (w *Watcher) handleEvent(kind string, e core.Event) {
	w.mu.Lock()
	k := w.kinds[kind]
	k.version = max(k.version, e.Object.Version)
	if e.Object.Name != "" {
		k.lastChange = max(k.lastChange, e.Object.Version)
		k.objects[e.Object.Name] = e.Object
		if e.Deleted {
			k.recordDeletion(e.Object.Name, e.Object.Version)
			k.openDeletions++
		}
	} else {
		k.endAnswer(e.Object.Version)
	}
	w.mu.Unlock()
	if e.Object.Name != "" {
		w.apply(kind, e, w.healthyFor(kind))
	}
}

// apply applies one change to the catalog or the settings tree. healthy is how long the
// store had not failed for the daemon that received the change from it.
func (w *Watcher) apply(kind string, e core.Event, healthy time.Duration) {
	switch kind {
	case w.reader.ConfigKind:
		w.applyConfig(e)
	case w.reader.RunnerKind:
		w.applyRunner(e, healthy)
	case core.KindTree:
		w.applyBranch(e)
	}
}

// errRelist is returned by a watch that was cancelled so that its kind is listed again. It
// is not core.ErrGone, which makes the other kinds be listed again too: two kinds would
// then make each other list without end.
var errRelist = errors.New("watch cancelled to list again")

// errFollowing is returned by a watch of a daemon that fetches changes from peers from now
// on.
var errFollowing = errors.New("other daemons watch")

// watch runs one watch. It returns errRelist if kindState.cancel has ended it.
func (w *Watcher) watch(ctx context.Context, kind string) error {
	sub, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	k := w.kinds[kind]
	k.cancel = cancel
	version := k.version
	w.mu.Unlock()
	changed, following := false, false
	err := w.store.Watch(sub, kind, version, func(e core.Event) {
		w.recordSuccess(kind)
		w.handleEvent(kind, e)
		if e.Object.Name != "" {
			changed = true
			return
		}
		if changed {
			// Once for each answer: one during a release contains fifty runners.
			w.onChange(kind)
		}
		if !w.watches() {
			following = true
			cancel()
			return
		}
		if changed && kind == w.reader.RunnerKind {
			changed = false
			core.Sleep(sub, w.clock, settleTime)
		}
	})
	if following {
		return errFollowing
	}
	if sub.Err() != nil && ctx.Err() == nil {
		return errRelist
	}
	return err
}

// list reads all objects of a kind from the store.
func (w *Watcher) list(ctx context.Context, kind string) error {
	objects, version, err := w.store.List(ctx, kind)
	if err != nil {
		return err
	}
	w.recordSuccess(kind)
	w.applySnapshot(kind, Snapshot{Version: version, Objects: objects, HealthyFor: w.healthyFor(kind)})
	return nil
}

// run lists a kind and then watches it from that version. It lists again if the store no
// longer has the history in between, or has failed. While the store fails, it fetches the
// snapshot of a peer that reaches the store: the store may turn away some VMs and serve the
// others.
func (w *Watcher) run(ctx context.Context, kind string) {
	defer w.wg.Done()
	listed := w.fetchInitial(ctx, kind)
	pause := minRetryPause
	for ctx.Err() == nil {
		if listed && !w.watches() {
			w.follow(ctx, kind)
			continue
		}
		if w.stopFollowing(kind) {
			listed = false
		}
		var err error
		if !listed {
			err = w.list(ctx, kind)
			listed = err == nil
		}
		if err == nil {
			err = w.watch(ctx, kind)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errFollowing) {
			continue
		}
		if errors.Is(err, core.ErrGone) || errors.Is(err, errRelist) {
			// If this watch has missed changes, those of the other kinds may have as well.
			if errors.Is(err, core.ErrGone) {
				w.relistOthers(kind)
			}
			w.log.Info(logs.WatchRestarted, zap.String("kind", kind))
			listed = false
			continue
		}
		if w.recordFailure(kind, err) {
			pause = minRetryPause
		}
		if w.version(kind) > 0 && !w.watches() {
			// Peers keep trying; what they receive arrives as changes to the objects held
			// here.
			listed = true
			continue
		}
		// The next attempt lists: the answer shows at once that the store is back, whereas
		// that of a watch would come only with the next change or at the end of its wait.
		listed = false
		w.fetchFromPeer(ctx, kind)
		core.Sleep(ctx, w.clock, pause/2+rand.N(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// version returns the version up to which all changes of a kind have been received.
func (w *Watcher) version(kind string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kinds[kind].version
}

// recordFailure records that the store failed, and returns whether it worked before.
func (w *Watcher) recordFailure(kind string, err error) bool {
	w.mu.Lock()
	k := w.kinds[kind]
	k.failedAt = w.clock.Now()
	first := !k.failing
	k.failing = true
	w.mu.Unlock()
	if first {
		w.log.Warn(logs.StoreLost, zap.String("kind", kind), logs.Err(err))
	}
	return first
}

// expireFailure lets the store count as working here again if the peer that made the
// snapshot reaches it and no call of this daemon has failed for failureExpiry.
func (w *Watcher) expireFailure(kind string, c Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	if !c.Stale && w.clock.Since(k.failedAt) > failureExpiry {
		k.failing = false
	}
}

// recordSuccess records that the store has answered.
func (w *Watcher) recordSuccess(kind string) {
	w.mu.Lock()
	k := w.kinds[kind]
	regained := k.failing
	k.failing = false
	k.confirmedAt = w.clock.Now()
	if regained {
		k.failedAt = w.clock.Now()
		if w.clock.Since(k.peerServedAt) <= maxPeerAge {
			k.failedAt = k.peerFailedAt // it has failed for this daemon alone
		}
	}
	w.mu.Unlock()
	if regained {
		w.log.Info(logs.StoreRegained, zap.String("kind", kind))
	}
}
