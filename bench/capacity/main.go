// Command capacity measures what control costs a daemon as the fleet grows:
// processor, memory, bytes between daemons, calls of the platform, and the time
// from accepting an edit to having it in force everywhere. docs/CAPACITY.md
// works from its table.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"primroseward/bench/fleet"
	"primroseward/core"
	service "primroseward/services/tree"
	"primroseward/standin/engine"
	"primroseward/state/tree"
	"primroseward/transport/admin"
)

const (
	idleFor  = 20 * time.Second
	edits    = 15
	pollGap  = 5 * time.Millisecond
	maxPolls = 4000
	oneGB    = 1000 * 1000 * 1000
)

func main() {
	binary := "bin/primrosed"
	fmt.Println("| daemons | CPU of a core, idle | memory | gossip B/s | calls B/s | platform calls/min, all daemons | watches | edit in force, median ms | max ms | platform calls per edit | CPU per edit and daemon, ms | B per edit and daemon |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, n := range []int{2, 4, 8, 16, 32} {
		if err := measure(binary, n); err != nil {
			fmt.Fprintln(os.Stderr, n, "daemons:", err)
			os.Exit(1)
		}
	}
}

// totals is what all daemons together have used.
type totals struct {
	cpu           time.Duration
	rss           int64
	gossip, calls float64
	platform      map[string]int
}

func read(f *fleet.Fleet) (totals, error) {
	t := totals{platform: f.Platform.Counts()}
	for _, d := range f.Daemons {
		u, err := d.Usage()
		if err != nil {
			return t, err
		}
		t.cpu += u.CPU
		t.rss += u.RSS
		for kind, sum := range map[string]*float64{"gossip": &t.gossip, "calls": &t.calls} {
			v, err := d.Metric(fmt.Sprintf("primrose_peer_bytes{kind=%q}", kind))
			if err != nil {
				return t, err
			}
			*sum += v
		}
	}
	return t, nil
}

func measure(binary string, n int) error {
	f, err := fleet.New(binary, n, []string{"a", "b"})
	if err != nil {
		return err
	}
	defer f.Close()
	root, err := settings(f, n)
	if err != nil {
		return err
	}
	if err := f.Apply(root); err != nil {
		return err
	}
	time.Sleep(10 * time.Second) // models are loaded, members known
	before, err := read(f)
	if err != nil {
		return err
	}
	time.Sleep(idleFor)
	idle, err := read(f)
	if err != nil {
		return err
	}
	times, err := editAll(f)
	if err != nil {
		return err
	}
	after, err := read(f)
	if err != nil {
		return err
	}
	report(n, before, idle, after, times)
	return nil
}

// settings has three runners for each daemon, as at the target size.
func settings(f *fleet.Fleet, n int) (*tree.Node, error) {
	places := []string{"a", "b"}
	root := &tree.Node{
		Set: tree.Settings{Places: &places}, Store: &tree.Store{Rate: 1000, Slots: 100},
		Endpoints: map[string]tree.Endpoint{}, Children: map[string]*tree.Node{},
	}
	for i := range 3 * n {
		e := engine.New(engine.Config{Memory: 80 * oneGB, Slots: 16, Fenced: true, Resident: []core.Resident{
			{Model: fmt.Sprintf("m%d", i%20), Version: "1", Bytes: 10 * oneGB, Ready: true},
		}})
		addr, err := f.Serve(e)
		if err != nil {
			return nil, err
		}
		root.Endpoints[fmt.Sprintf("e%d", i)] = tree.Endpoint{Addr: addr, Place: places[i%2], Kind: tree.KindModel, Memory: 80 * oneGB, Slots: 16, Fenced: true}
	}
	for i := range min(20, 3*n) {
		root.Children[fmt.Sprintf("model/m%d", i)] = &tree.Node{Model: &tree.Model{Version: "1", Memory: 10 * oneGB}}
	}
	root.Store.Pause = true
	return root, nil
}

// editAll makes edits one after the other and times each until it is in force.
func editAll(f *fleet.Fleet) ([]time.Duration, error) {
	var out []time.Duration
	for i := range edits {
		var got service.Got
		d := f.Daemons[i%len(f.Daemons)]
		if err := d.Call(http.MethodGet, "/admin/tree?path=/model/m0", nil, &got); err != nil {
			return nil, err
		}
		got.Node.Set.Concurrency = 100 + i
		node, err := json.Marshal(got.Node)
		if err != nil {
			return nil, err
		}
		if err := d.Call(http.MethodPut, "/admin/tree?path=/model/m0", admin.EditBody{Version: got.Version, Node: node}, &got); err != nil {
			return nil, err
		}
		began := time.Now()
		if err := await(f, got.Version); err != nil {
			return nil, err
		}
		out = append(out, time.Since(began))
		time.Sleep(time.Second)
	}
	return out, nil
}

// await polls each daemon's own version, not the platform.
func await(f *fleet.Fleet, version uint64) error {
	for _, d := range f.Daemons {
		for tries := 0; ; tries++ {
			var versions map[string]uint64
			err := d.Call(http.MethodGet, "/admin/versions", nil, &versions)
			if err == nil && versions["model/m0"] >= version {
				break
			}
			if tries > maxPolls {
				return fmt.Errorf("%s: version %d is not in force", d.Name, version)
			}
			time.Sleep(pollGap)
		}
	}
	return nil
}

func report(n int, before, idle, after totals, times []time.Duration) {
	per := float64(n)
	seconds := idleFor.Seconds()
	slices.Sort(times)
	calls := func(a, b totals) float64 {
		sum := 0
		for verb, count := range b.platform {
			sum += count - a.platform[verb]
		}
		return float64(sum)
	}
	editSpan := after.cpu - idle.cpu
	idlePerSecond := float64(idle.cpu-before.cpu) / seconds
	// What editing cost beyond the idle time that passed meanwhile.
	passed := float64(edits) * 1.1
	extra := max(0, float64(editSpan)-idlePerSecond*passed)
	bytesIdle := (idle.gossip - before.gossip + idle.calls - before.calls) / seconds
	extraBytes := max(0, after.gossip-idle.gossip+after.calls-idle.calls-bytesIdle*passed)
	fmt.Printf("| %d | %.2f%% | %.0f MB | %.0f | %.0f | %.0f | %d | %d | %d | %.1f | %.2f | %.0f |\n", n,
		100*(idle.cpu-before.cpu).Seconds()/seconds/per,
		float64(idle.rss)/per/1e6,
		(idle.gossip-before.gossip)/seconds/per,
		(idle.calls-before.calls)/seconds/per,
		calls(before, idle)*60/seconds,
		idle.platform["WATCH"],
		times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds(),
		calls(idle, after)/float64(edits),
		extra/float64(edits)/per/1e6,
		extraBytes/float64(edits)/per)
}
