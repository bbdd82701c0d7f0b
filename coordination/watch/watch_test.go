package watch

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/standin/memory"
	"primroseward/state/catalog"
)

const (
	configs = "configs"
	runners = "runners"
)

// unreadableEntry is a runner's entry that can't be read.
const unreadableEntry = `"spoiled"`

// node is one daemon's Watcher; it fetches snapshots from its peer.
type node struct {
	*Watcher
	catalog *catalog.Catalog
	client  *memory.Client
	peer    *node
}

func newNode(s *memory.Store, opts ...Option) *node {
	n := &node{client: s.Client()}
	clock := clockwork.NewRealClock()
	n.catalog = catalog.New(clock)
	n.Watcher = New(n.client, Reader{
		ConfigKind: configs, ConfigName: "main", RunnerKind: runners,
		Config: func(body []byte) (*core.Config, error) {
			c := &core.Config{}
			err := json.Unmarshal(body, &c.Version)
			return c, err
		},
		Runner: func(id string, body []byte) (*core.Runner, error) {
			if string(body) == unreadableEntry {
				return nil, core.ErrInvalid
			}
			return &core.Runner{ID: id, Service: "s", Draining: string(body) == `"draining"`}, nil
		},
	}, n.fetchSnapshot, n.catalog, clock, zap.NewNop(), opts...)
	return n
}

func (n *node) fetchSnapshot(_ context.Context, kind, _ string, after uint64) (Snapshot, error) {
	if n.peer == nil {
		return Snapshot{}, core.ErrUnavailable
	}
	return n.peer.Snapshot(kind, after)
}

// configVersion returns the version of the configuration in force, 0 if there is none.
func (n *node) configVersion() uint64 {
	if c := n.catalog.Config(); c != nil {
		return c.Version
	}
	return 0
}

// within waits for a condition in virtual time.
func within(t *testing.T, limit time.Duration, what string, fn func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !fn(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s: not within %v", what, limit)
	}
}

// Guards against requests being served by an old configuration for ten seconds. While the
// store drops its history, pending watches get no events and are not cut; the change made in
// between must be found when their wait ends.
func TestChangeInDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.configVersion() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.DropHistory()
		s.DropEvents(false)
		within(t, 4*time.Second, "second config", func() bool { return n.configVersion() == 2 })
	})
}

// Guards against listing all objects again and again after the store has dropped its
// history: each kind that was listed again made the other one be listed again.
func TestDroppedHistoryIsListedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		n := newNode(s)
		n.Start()
		defer n.Stop()
		within(t, time.Second, "first config", func() bool { return n.configVersion() == 1 })
		s.DropEvents(true)
		s.Put(configs, "main", "2")
		s.DropHistory()
		s.DropEvents(false)
		within(t, 4*time.Second, "second config", func() bool { return n.configVersion() == 2 })
		before := n.client.Calls()
		time.Sleep(10 * time.Second)
		assert.Assert(t, n.client.Calls()-before < 30, "%d calls and polls in ten seconds", n.client.Calls()-before)
	})
}

// Guards against the cause of the same fault: the error of a watch that was cancelled to
// list again must differ from that of a watch whose history the store has dropped.
func TestRelistIsNotErrGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(memory.New())
		ended := make(chan error, 1)
		go func() { ended <- n.watch(context.Background(), configs) }()
		time.Sleep(time.Second)
		n.relistOthers("")
		assert.Assert(t, !errors.Is(<-ended, core.ErrGone))
	})
}
