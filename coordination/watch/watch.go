// Package watch keeps the catalog in step with the platform's store.
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
	// firstPause and lastPause bound the wait between two tries while the
	// store fails. The configuration must be in force two seconds after its
	// acknowledgement, so the last try before the store's return must not lie
	// much further back than half a second.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// lapseGrace is how long after the store's return a missing entry of a
	// runner still counts: live runners are back within about two seconds.
	lapseGrace = 2 * time.Second
	// maxUnread bounds the entries that are remembered as told of.
	maxUnread  = 1000
	sweepEvery = 100 * time.Millisecond
	// firstCheck is how often a daemon that starts looks for another one's copy.
	firstCheck = 40 * time.Millisecond
	// failMemory is how long a daemon that does not watch counts the store as failing
	// after it has tried in vain: about as long as the store's outages.
	failMemory = 5 * time.Second
	// hintPatience is how long a daemon that watches waits for its own watch to
	// bring a change that another one has told of.
	hintPatience = 150 * time.Millisecond
	// farPatience is how long a daemon that does not watch waits for one of its own
	// place to know a change that one of another place has told of: each change
	// would come to each daemon over the dear links between places, instead of once
	// to each place.
	farPatience = 300 * time.Millisecond
	// followCheck is how often a daemon that does not watch looks whether it
	// should: those that did may have gone.
	followCheck = 200 * time.Millisecond
	// settle is the pause after changes of runners before the next watch. Each
	// answer of a watch is a counted call of each daemon; runners that change
	// together then cost one. It is a tenth of the two seconds within which a
	// leaving runner must get no more work.
	settle = 200 * time.Millisecond
)

// Reader turns objects of the store into the product's types.
type Reader struct {
	ConfigKind string
	ConfigName string
	RunnerKind string
	Config     func(body []byte) (*core.Config, error)
	Runner     func(id string, body []byte) (*core.Runner, error)
}

// Copy is a kind's objects as the store had them at a version: all of them, or
// those that have changed after a version that its reader has.
type Copy struct {
	Version uint64        `json:"version"`
	After   uint64        `json:"after,omitempty"` // 0: all objects
	Objects []core.Object `json:"objects"`
	Gone    []Gone        `json:"gone,omitempty"` // deleted after After
	Change  uint64        `json:"change"`         // the last one of the kind
	Healthy time.Duration `json:"healthy"`        // since the store last failed for its daemon
	Stale   bool          `json:"stale"`          // the store fails for its daemon now
}

// Gone is an object that has been deleted, at the latest at a version.
type Gone struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Neighbour gets another daemon's copy of a kind as of a version that is known
// here: a named daemon's, or that of any if the name is empty, of one that reaches
// the store where there is one. It fails with ErrUnavailable when there is none.
type Neighbour func(ctx context.Context, kind, name string, after uint64) (Copy, error)

// Watcher watches the configuration and the runners.
type Watcher struct {
	store        core.Platform
	reader       Reader
	neighbour    Neighbour
	catalog      *catalog.Catalog
	clock        core.Clock
	log          *zap.Logger
	mu           sync.Mutex
	kinds        map[string]*kindState
	runnersKnown atomic.Bool
	unread       map[string]uint64 // versions of runners' entries that could not be read
	settings     *tree.Replica     // nil: none are kept
	active       func() bool
	changed      func(kind string)
	first        func(since time.Duration) bool
	pause        func() time.Duration // of a daemon that does not watch, after it has taken a copy
	// unreadable is called for each version of a runner's entry that can't be read.
	unreadable func()
	wg         sync.WaitGroup
	stop       context.CancelFunc
}

// Option changes a Watcher.
type Option func(*Watcher)

// WithActive sets what tells whether this daemon watches the store itself.
// Others take what has changed from those that do.
func WithActive(fn func() bool) Option { return func(w *Watcher) { w.active = fn } }

// WithPause sets how long a daemon that does not watch waits after a copy of the runners
// before it takes the next one: runners that change in that time cost one copy.
func WithPause(fn func() time.Duration) Option { return func(w *Watcher) { w.pause = fn } }

// WithSettings keeps a replica of the operators' settings tree in step, too.
func WithSettings(r *tree.Replica) Option {
	return func(w *Watcher) {
		w.settings = r
		w.addKind(core.KindTree)
	}
}

// WithChanged calls fn with the kind of each change that a watch of this daemon
// reports.
func WithChanged(fn func(kind string)) Option { return func(w *Watcher) { w.changed = fn } }

// WithFirst sets what tells whether this daemon should read the store itself, so long
// after its start, rather than wait for another one's copy.
func WithFirst(fn func(since time.Duration) bool) Option { return func(w *Watcher) { w.first = fn } }

// WithUnreadable calls fn for each runner's entry that can't be read.
func WithUnreadable(fn func()) Option { return func(w *Watcher) { w.unreadable = fn } }

// kindState is this daemon's copy of a kind.
type kindState struct {
	version uint64 // all changes up to this one are known
	change  uint64 // the last change of the kind
	objects map[string]core.Object
	gone    []Gone // what has been deleted after the version since, oldest first
	open    int    // of gone, at its end: deleted in an answer that has not ended
	since   uint64
	failing bool
	lost    time.Time // when the store last failed
	passive bool
	cancel  context.CancelFunc // of the watch
	hint    hint
	wake    chan struct{} // of a passive daemon's loop
	// confirmed is when what is known was last known to be the store's newest,
	// zero if never. It keeps its monotonic reading.
	confirmed time.Time
}

// hint is what another daemon told of a kind that this one does not know yet.
type hint struct {
	change uint64
	from   string
	near   bool // the other one is in this place
	at     time.Time
	acted  bool
}

// New makes a Watcher.
func New(store core.Platform, reader Reader, neighbour Neighbour, c *catalog.Catalog, clock core.Clock, log *zap.Logger, opts ...Option) *Watcher {
	w := &Watcher{
		store: store, reader: reader, neighbour: neighbour, catalog: c, clock: clock, log: log, kinds: map[string]*kindState{}, unread: map[string]uint64{}, unreadable: func() {},
		active: func() bool { return true }, changed: func(string) {}, first: func(time.Duration) bool { return true }, pause: func() time.Duration { return settle },
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

// Start begins to watch.
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

// Stop ends the watches.
func (w *Watcher) Stop() {
	w.stop()
	w.wg.Wait()
}

// change takes in one event of a watch.
func (w *Watcher) change(kind string, e core.Event) {
	w.mu.Lock()
	k := w.kinds[kind]
	k.version = max(k.version, e.Object.Version)
	if e.Object.Name != "" {
		k.change = max(k.change, e.Object.Version)
		k.objects[e.Object.Name] = e.Object
		if e.Deleted {
			k.drop(e.Object.Name, e.Object.Version)
			k.open++
		}
	} else {
		k.close(e.Object.Version)
	}
	w.mu.Unlock()
	if e.Object.Name != "" {
		w.take(kind, e, w.healthyFor(kind))
	}
}

// take hands one change on. healthy is how long the store had not failed for the
// daemon that saw it.
func (w *Watcher) take(kind string, e core.Event, healthy time.Duration) {
	switch kind {
	case w.reader.ConfigKind:
		w.takeConfig(e)
	case w.reader.RunnerKind:
		w.takeRunner(e, healthy)
	case core.KindTree:
		w.takeBranch(e)
	}
}

// errRelist ends a watch that relist has cancelled. It is not the store's own
// ErrGone, which makes the other kinds list again: two kinds would do so in turns
// without end.
var errRelist = errors.New("listed again")

// errFollows ends the watch of a daemon that takes changes from others now.
var errFollows = errors.New("other daemons watch")

// watch runs one watch, which relist ends with errRelist.
func (w *Watcher) watch(ctx context.Context, kind string) error {
	sub, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	k := w.kinds[kind]
	k.cancel = cancel
	version := k.version
	w.mu.Unlock()
	changed, follows := false, false
	err := w.store.Watch(sub, kind, version, func(e core.Event) {
		w.works(kind)
		w.change(kind, e)
		if e.Object.Name != "" {
			changed = true
			return
		}
		if changed {
			// Once for each answer: one of a release tells of fifty runners.
			w.changed(kind)
		}
		if !w.active() {
			follows = true
			cancel()
			return
		}
		if changed && kind == w.reader.RunnerKind {
			changed = false
			core.Sleep(sub, w.clock, settle)
		}
	})
	if follows {
		return errFollows
	}
	if sub.Err() != nil && ctx.Err() == nil {
		return errRelist
	}
	return err
}

// list reads all objects of a kind.
func (w *Watcher) list(ctx context.Context, kind string) error {
	objects, version, err := w.store.List(ctx, kind)
	if err != nil {
		return err
	}
	w.works(kind)
	w.adopt(kind, Copy{Version: version, Objects: objects, Healthy: w.healthyFor(kind)})
	return nil
}

// run lists a kind, then watches it from there; it lists again when the store
// no longer has the history in between, or has failed. While the store fails it
// takes the copy of another daemon that reaches it: the store may turn away some
// VMs and serve the others.
func (w *Watcher) run(ctx context.Context, kind string) {
	defer w.wg.Done()
	listed := w.begin(ctx, kind)
	pause := firstPause
	for ctx.Err() == nil {
		if listed && !w.active() {
			w.follow(ctx, kind)
			continue
		}
		if w.leadsAgain(kind) {
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
		if errors.Is(err, errFollows) {
			continue
		}
		if errors.Is(err, core.ErrGone) || errors.Is(err, errRelist) {
			// What one watch has missed the others may have missed as well.
			if errors.Is(err, core.ErrGone) {
				w.relist(kind)
			}
			w.log.Info(logs.WatchAnew, zap.String("kind", kind))
			listed = false
			continue
		}
		if w.fails(kind, err) {
			pause = firstPause
		}
		if w.known(kind) > 0 && !w.active() {
			// Others try; what they find out comes as changes to what is known here.
			listed = true
			continue
		}
		// The next try lists: its answer shows at once that the store is back,
		// where a watch's would come with the next change or the end of its wait.
		listed = false
		w.ask(ctx, kind)
		core.Sleep(ctx, w.clock, pause/2+rand.N(pause))
		pause = min(2*pause, lastPause)
	}
}

// known is the version up to which all changes of a kind are known.
func (w *Watcher) known(kind string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.kinds[kind].version
}

// fails notes a failure of the store, and says whether it is the first.
func (w *Watcher) fails(kind string, err error) bool {
	w.mu.Lock()
	k := w.kinds[kind]
	k.lost = w.clock.Now()
	first := !k.failing
	k.failing = true
	w.mu.Unlock()
	if first {
		w.log.Warn(logs.StoreLost, zap.String("kind", kind), logs.Err(err))
	}
	return first
}

// mayWork lets the store count as working here again when another daemon reaches it
// and this one has not tried for a while.
func (w *Watcher) mayWork(kind string, c Copy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.kinds[kind]
	if !c.Stale && w.clock.Since(k.lost) > failMemory {
		k.failing = false
	}
}

// works notes that the store answers.
func (w *Watcher) works(kind string) {
	w.mu.Lock()
	k := w.kinds[kind]
	back := k.failing
	k.failing = false
	k.confirmed = w.clock.Now()
	if back {
		k.lost = w.clock.Now()
	}
	w.mu.Unlock()
	if back {
		w.log.Info(logs.StoreRegained, zap.String("kind", kind))
	}
}
