package member

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"primroseward/core"
	"primroseward/standin/fuzz"
)

func TestMain(m *testing.M) { fuzz.Main(m, 500, 40) }

func testMember(name string, incarnation uint64, state core.MemberState) core.Member {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	return core.Member{Name: name, DataCentre: "a", Peer: addr, Caller: addr, Incarnation: incarnation, State: state}
}

// Guards against a live daemon that is considered dead for ever, or a dead one that
// is considered alive, when updates arrive late, twice and in any order. All tables
// that have received the same updates must agree, and no daemon may accept that it
// is dead itself.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		names := []string{"x", "y", "z"}
		var updates []core.Member
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			state := core.MemberState(rapid.IntRange(0, 3).Draw(t, "state"))
			updates = append(updates, testMember(rapid.SampledFrom(names).Draw(t, "name"), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")), state))
		}
		var tables []*Table
		for i := range 2 {
			table := NewTable(clock, testMember(fmt.Sprint("self", i), 1, core.MemberAlive))
			for _, n := range names {
				table.Merge(testMember(n, 0, core.MemberAlive))
			}
			for _, j := range rapid.Permutation(indexes(len(updates))).Draw(t, "order") {
				table.Merge(updates[j])
				if rapid.Bool().Draw(t, "twice") {
					table.Merge(updates[j])
				}
			}
			tables = append(tables, table)
		}
		for _, n := range names {
			a, _ := tables[0].GetWithDead(n)
			b, _ := tables[1].GetWithDead(n)
			assert.Equal(t, a, b)
		}
		tables[0].Merge(testMember("self0", 9, core.MemberDead))
		self := tables[0].Self()
		assert.Equal(t, self.State, core.MemberAlive)
		assert.Equal(t, self.Incarnation, uint64(10))
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// A suspected member stays ranked until it refutes the suspicion or is declared
// dead. A dead member is not added again by outdated updates, and its entry is
// removed after deadRetention.
func TestSuspectDiesOrRefutes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock, testMember("self", 1, core.MemberAlive))
	table.Merge(testMember("x", 1, core.MemberAlive))
	table.Suspect("x")
	assert.Equal(t, len(table.Rank("k", "", 5)), 2, "a suspected member is still ranked")
	assert.Assert(t, table.Merge(testMember("x", 2, core.MemberAlive)), "refuted")
	clock.Advance(time.Minute)
	assert.Equal(t, len(table.Expire(time.Second)), 0)
	table.Suspect("x")
	clock.Advance(2 * time.Second)
	assert.Equal(t, len(table.Expire(time.Second)), 1)
	_, err := table.Get("x")
	assert.ErrorIs(t, err, core.ErrNotFound)
	assert.Assert(t, !table.Merge(testMember("x", 2, core.MemberAlive)), "an outdated update must not add a dead member")
	clock.Advance(deadRetention)
	table.Expire(time.Second)
	_, exists := table.GetWithDead("x")
	assert.Assert(t, !exists, "removed after deadRetention")
}

// When a member leaves, only the keys assigned to it move.
func TestRankMovesFewKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock, testMember("m0", 1, core.MemberAlive))
	for i := 1; i < 10; i++ {
		table.Merge(testMember(fmt.Sprint("m", i), 1, core.MemberAlive))
	}
	before := map[string]string{}
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		before[key] = table.Rank(key, "", 1)[0].Name
	}
	table.Merge(testMember("m3", 1, core.MemberLeaving))
	moved := 0
	for key, was := range before {
		now := table.Rank(key, "", 1)[0].Name
		assert.Assert(t, now != "m3")
		if now != was {
			assert.Equal(t, was, "m3")
			moved++
		}
	}
	assert.Assert(t, moved > 50 && moved < 200, "%d of 1000 moved", moved)
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{8, 200, 3700} {
		table := NewTable(clockwork.NewRealClock(), testMember("m0", 1, core.MemberAlive))
		for i := 1; i < n; i++ {
			table.Merge(testMember(fmt.Sprint("m", i), 1, core.MemberAlive))
		}
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Rank(strconv.Itoa(i), "", 2) // a new key each time, as with request ids
			}
		})
		b.Run(fmt.Sprintf("members=%d,cached", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Rank("dir/model/x", "", 2)
			}
		})
	}
}
