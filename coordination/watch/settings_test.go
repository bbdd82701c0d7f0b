package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/standin/memory"
	"primroseward/state/tree"
)

const branch = `{"node":{"set":{"concurrency":7}},"log":[]}`

// Guards against requests being served by settings that operators have changed or by a
// branch that they have deleted, after a daemon has missed that while the store dropped its
// history. Changes and deletions must be applied both from a watch and from a list.
func TestSettingsFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		replica := tree.NewReplica(tree.WithOverlay())
		n := newNode(s, WithSettings(replica))
		n.Start()
		defer n.Stop()
		within(t, time.Second, "tree known without any branch", func() bool { return replica.Tree() != nil })
		limitOf := func() int { return replica.Tree().Effective(tree.Selector{Service: "s"}).Concurrency }
		assert.Equal(t, limitOf(), 0)
		s.Put(core.KindTree, "service.s", branch)
		within(t, time.Second, "received by watch", func() bool { return limitOf() == 7 })
		s.Put(core.KindTree, "service.s", `{"node":{"set":{"concurency":9}}}`)
		within(t, time.Second, "problem reported", func() bool { return len(replica.Problems()) == 1 })
		assert.Equal(t, limitOf(), 7, "the last readable branch stays in force")
		s.DropEvents(true)
		s.Remove(core.KindTree, "service.s")
		s.DropHistory()
		s.DropEvents(false)
		within(t, 4*time.Second, "deletion found by a list", func() bool { return limitOf() == 0 })
	})
}

// Requests of a service that requires recently confirmed settings must not be refused at
// daemons that do not watch the store, nor served for hours at one that is cut off from all:
// the age of the settings is passed from daemon to daemon, and grows on the way.
func TestAgeOfSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memory.New()
		s.Put(configs, "main", "1")
		a := newNode(s, WithSettings(tree.NewReplica(tree.WithOverlay())))
		assert.Assert(t, a.SettingsAge() < 0)
		a.Start()
		defer a.Stop()
		within(t, time.Second, "start", func() bool { return a.SettingsAge() >= 0 })
		time.Sleep(time.Minute)
		assert.Assert(t, a.SettingsAge() < 5*time.Second, "%v", a.SettingsAge())
		a.client.SetDisconnected(true)
		time.Sleep(time.Minute)
		assert.Assert(t, a.SettingsAge() > 55*time.Second, "%v", a.SettingsAge())
		a.Confirm(s.Version()+1, 0)
		assert.Assert(t, a.SettingsAge() > 55*time.Second, "the peer has a change that this daemon does not have")
		a.Confirm(s.Version(), 2*time.Second)
		age := a.SettingsAge()
		assert.Assert(t, age >= 2*time.Second && age < 3*time.Second, "%v", age)
		a.Confirm(s.Version(), -1)
		a.Confirm(s.Version(), time.Hour)
		assert.Assert(t, a.SettingsAge() < 3*time.Second, "%v", a.SettingsAge())
	})
}
