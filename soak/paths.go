package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"primroseward/standin/paths"
	"primroseward/standin/runner"
)

// brittleNotice is how long before their room shrinks runners announce that they are brittle.
const brittleNotice = 3 * time.Second

// partition cuts some daemons, or all, off from all runners or some for a while, in a way drawn at
// random.
func (w *World) partition(r *rand.Rand) string {
	n, length := 1+r.IntN(len(w.daemons)), randomSeconds(r, 0.5, 5)
	targets := w.partitionTargets(r)
	mode := []paths.Mode{paths.Hang, paths.HangToRunner, paths.HangToDaemon, paths.Reset, paths.RefuseNew}[r.IntN(5)]
	w.markAllImpaired(length)
	names := []string{}
	for _, i := range r.Perm(len(w.daemons))[:n] {
		d := w.daemons[i]
		names = append(names, d.name)
		pid := d.pid()
		w.notePartition(d, targets, length)
		w.paths.Partition(pid, mode, targets...)
		w.schedule(length, func() { w.paths.Partition(pid, paths.Open, targets...) })
	}
	if len(targets) == 0 {
		return fmt.Sprintf("%v, mode %d, for %v", names, mode, length)
	}
	return fmt.Sprintf("%v, mode %d, for %v, at %d runners", names, mode, length, len(targets))
}

// notePartition records that answers of the runners at some addresses, none for all, may break off.
func (w *World) notePartition(d *daemon, targets []string, length time.Duration) {
	if len(targets) == 0 {
		w.noteBreakage(d, nil, 0, length)
	}
	w.mu.Lock()
	list := slices.Clone(w.runners)
	w.mu.Unlock()
	for _, h := range list {
		if slices.Contains(targets, h.proxy.Addr()) {
			w.noteBreakage(d, h, 0, length)
		}
	}
}

// partitionTargets draws the addresses of runners behind a partition; none stands for all runners.
func (w *World) partitionTargets(r *rand.Rand) []string {
	if r.IntN(2) == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	some := 1 + r.IntN(max(1, len(w.runners)))
	for _, i := range r.Perm(len(w.runners))[:min(some, len(w.runners))] {
		out = append(out, w.runners[i].proxy.Addr())
	}
	return out
}

// closeProxies closes the proxies of a runner that has ended, so that its address refuses connections.
func (w *World) closeProxies(h *proxiedRunner) {
	h.proxy.Close()
	w.paths.CloseProxy(h.addr)
}

// makeBrittle makes the plain runners brittle for a while, and shrinks their room after a notice.
func (w *World) makeBrittle(r *rand.Rand) string {
	rejections, length := 1+r.IntN(20), brittleNotice+randomSeconds(r, 1, 4)
	w.mu.Lock()
	var list []*proxiedRunner
	for _, h := range w.runners {
		if h.Service == "app" {
			list = append(list, h)
		}
	}
	w.mu.Unlock()
	set := func(header string, room int) {
		for _, h := range list {
			h.SetBrittle(runner.Brittle{Header: header, Rejections: rejections, Room: room, Downtime: time.Second})
		}
	}
	w.markAllImpaired(length)
	set(strconv.Itoa(rejections), 2*w.slots())
	w.schedule(brittleNotice, func() { set(strconv.Itoa(rejections), w.slots()) })
	w.schedule(length, func() { set("", 2*w.slots()) })
	return fmt.Sprintf("%d rejections a second, for %v", rejections, length)
}

// pid returns the process id of the daemon's present process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}
