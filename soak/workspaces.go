package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	wire "primroseward/platform"
)

const (
	// mainWorkspace has no allowance, hotWorkspace has one that its callers use up.
	mainWorkspace, hotWorkspace = "main", "hot"
	// hotRate and hotBurst are the allowance of hotWorkspace over all daemons, in requests
	// per second and requests. Within quotaWindow it may be exceeded by the fraction
	// quotaTolerance of it plus quotaSlack requests.
	hotRate, hotBurst = 3, 3
	quotaWindow       = 2 * time.Second
	quotaTolerance    = 0.1
	quotaSlack        = 8
	// hotPercent is the percentage of requests to the safe route that belong to
	// hotWorkspace.
	hotPercent = 50
)

// versionKey returns the key that only one version of the configuration has.
func versionKey(version int) string { return fmt.Sprintf("key-%d", version) }

// tenants returns the workspaces of a version of the configuration.
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

// key returns the key that the caller sends. Its workspace has the same name.
func (req *request) key() string {
	if req.hot {
		return hotWorkspace
	}
	return mainWorkspace
}

// checkWorkspaces checks that runners received the workspace of each request and never its
// key, and that no more was admitted than the allowance over all daemons, whatever faults
// these had.
func (w *World) checkWorkspaces(runs map[string][]execution) {
	type use struct{ sent, ran time.Time }
	var hot []use
	for _, req := range w.requests {
		for _, r := range runs[req.id] {
			if got := r.Header.Get(wire.HeaderWorkspace); got != req.key() {
				w.reportViolation("%s: ran for workspace %q, but its key belongs to %q", req.id, got, req.key())
			}
			if r.Header.Get(wire.HeaderKey) != "" {
				w.reportViolation("%s: %s received its key", req.id, r.runner.ID)
			}
			if req.hot {
				hot = append(hot, use{req.sent, r.At})
			}
		}
	}
	slices.SortFunc(hot, func(a, b use) int { return a.sent.Compare(b.sent) })
	bound := (hotRate*quotaWindow.Seconds()+hotBurst)*(1+quotaTolerance) + quotaSlack
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
		w.reportViolation("%d requests of a workspace were admitted, of at most %.0f, within %v", most, bound, quotaWindow)
	}
	w.logEvent("workspace with an allowance: at most %d requests in %v, %.0f allowed", most, quotaWindow, bound)
}
