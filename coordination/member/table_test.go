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

func someone(name string, incarnation uint64, state core.MemberState) core.Member {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	return core.Member{Name: name, Place: "a", Peer: addr, Caller: addr, Incarnation: incarnation, State: state}
}

// A live daemon would be taken for dead for ever, or a dead one for alive: news
// arrive in any order, late and twice. All tables that have heard the same
// must agree, and no daemon may believe itself dead.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		names := []string{"x", "y", "z"}
		var news []core.Member
		for range rapid.IntRange(1, 12).Draw(t, "news") {
			state := core.MemberState(rapid.IntRange(0, 3).Draw(t, "state"))
			news = append(news, someone(rapid.SampledFrom(names).Draw(t, "name"), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")), state))
		}
		var tables []*Table
		for i := range 2 {
			table := NewTable(clock, someone(fmt.Sprint("self", i), 1, core.MemberAlive))
			for _, n := range names {
				table.Merge(someone(n, 0, core.MemberAlive))
			}
			for _, j := range rapid.Permutation(indexes(len(news))).Draw(t, "order") {
				table.Merge(news[j])
				if rapid.Bool().Draw(t, "twice") {
					table.Merge(news[j])
				}
			}
			tables = append(tables, table)
		}
		for _, n := range names {
			a, _ := tables[0].Peek(n)
			b, _ := tables[1].Peek(n)
			assert.Equal(t, a, b)
		}
		tables[0].Merge(someone("self0", 9, core.MemberDead))
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

func TestSuspicionEndsInDeathOrRefutation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock, someone("self", 1, core.MemberAlive))
	table.Merge(someone("x", 1, core.MemberAlive))
	table.Suspect("x")
	assert.Equal(t, len(table.Rank("k", "", 5)), 2, "a suspect keeps what it owns")
	assert.Assert(t, table.Merge(someone("x", 2, core.MemberAlive)), "refuted")
	clock.Advance(time.Minute)
	assert.Equal(t, len(table.Expire(time.Second)), 0)
	table.Suspect("x")
	clock.Advance(2 * time.Second)
	assert.Equal(t, len(table.Expire(time.Second)), 1)
	_, err := table.Get("x")
	assert.ErrorIs(t, err, core.ErrNotFound)
	assert.Assert(t, !table.Merge(someone("x", 2, core.MemberAlive)), "old news does not bring it back")
	clock.Advance(keepDead)
	table.Expire(time.Second)
	_, known := table.Peek("x")
	assert.Assert(t, !known, "forgotten in the end")
}

func TestRankMovesLittle(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := NewTable(clock, someone("m0", 1, core.MemberAlive))
	for i := 1; i < 10; i++ {
		table.Merge(someone(fmt.Sprint("m", i), 1, core.MemberAlive))
	}
	before := map[string]string{}
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		before[key] = table.Rank(key, "", 1)[0].Name
	}
	table.Merge(someone("m3", 1, core.MemberLeaving))
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
		table := NewTable(clockwork.NewRealClock(), someone("m0", 1, core.MemberAlive))
		for i := 1; i < n; i++ {
			table.Merge(someone(fmt.Sprint("m", i), 1, core.MemberAlive))
		}
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Rank(strconv.Itoa(i), "", 2) // a new key each time, as request ids are
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
