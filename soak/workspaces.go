package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	wire "primroseward/platform"
)

const (
	// mainWorkspace has no allowance, hotWorkspace one that its callers use up.
	mainWorkspace, hotWorkspace = "main", "hot"
	// hotRate and hotBurst are its allowance, in requests, over all daemons; within
	// quotaWindow quotaOver of it and quotaSlack may come on top.
	hotRate, hotBurst = 3, 3
	quotaWindow       = 2 * time.Second
	quotaOver         = 0.1
	quotaSlack        = 8
	// hotShare is how many of a hundred requests that may be repeated are the hot
	// workspace's.
	hotShare = 50
)

// versionKey is the key that comes and goes with each configuration.
func versionKey(version int) string { return fmt.Sprintf("key-%d", version) }

// tenants are the workspaces of a configuration.
func tenants(version int) ([]json.RawMessage, error) {
	var out []json.RawMessage
	for _, t := range []wire.TenantMessage{
		{Name: mainWorkspace, Keys: []string{mainWorkspace, versionKey(version)}},
		{Name: hotWorkspace, Keys: []string{hotWorkspace}, Rate: hotRate, Burst: hotBurst},
	} {
		data, err := json.Marshal(t)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// key is what the request's caller shows; its workspace has the same name.
func (a *ask) key() string {
	if a.hot {
		return hotWorkspace
	}
	return mainWorkspace
}

// checkWorkspaces checks what runners saw of keys and workspaces, and that no more was let
// in than the allowance over all daemons, however these were harmed.
func (w *World) checkWorkspaces(runs map[string][]where) {
	type use struct{ sent, ran time.Time }
	var hot []use
	for _, a := range w.asked {
		for _, r := range runs[a.id] {
			if got := r.Header.Get(wire.HeaderWorkspace); got != a.key() {
				w.note("%s: ran for workspace %q, its key is that of %q", a.id, got, a.key())
			}
			if r.Header.Get(wire.HeaderKey) != "" {
				w.note("%s: %s has seen its key", a.id, r.host.ID)
			}
			if a.hot {
				hot = append(hot, use{a.sent, r.At})
			}
		}
	}
	slices.SortFunc(hot, func(a, b use) int { return a.sent.Compare(b.sent) })
	bound := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaOver) + quotaSlack
	most := 0
	for i, first := range hot {
		n := 0
		for _, one := range hot[i:] {
			if one.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	if float64(most) > bound {
		w.note("%d requests of a workspace that may have %.0f were let in within %v", most, bound, quotaWindow)
	}
	w.event("a workspace had at most %d requests in %v, of %.0f", most, quotaWindow, bound)
}
