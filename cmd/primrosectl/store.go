package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	"github.com/jonboulle/clockwork"

	"primroseward/core"
	"primroseward/platform"
	"primroseward/services/holds"
	service "primroseward/services/tree"
	"primroseward/state/tree"
	"primroseward/transport/admin"
)

// storeRoutes are the paths that need only the store.
var storeRoutes = []string{"/admin/tree", "/admin/history", "/admin/holds"}

// storeTransport serves calls on storeRoutes from the platform's store, with the admin
// API's code running in this process, and sends all others to a daemon. Operators
// use it to edit the tree if their daemons accept no edits.
type storeTransport struct {
	local  http.Handler
	daemon http.RoundTripper
}

// newStoreTransport reads the tree and the configuration from the store at an address.
func newStoreTransport(ctx context.Context, store string) (*storeTransport, error) {
	addr, err := netip.ParseAddrPort(store)
	if err != nil {
		return nil, fmt.Errorf("%w: --store: want IP:port, got %q", errUsage, store)
	}
	clock := clockwork.NewRealClock()
	client := platform.New(addr, clock)
	replica := tree.NewReplica(tree.WithOverlay())
	objects, version, err := client.List(ctx, core.KindTree)
	if err != nil {
		return nil, err
	}
	branches := make([]tree.Branch, 0, len(objects))
	for _, o := range objects {
		branches = append(branches, tree.BranchOf(core.Event{Object: o}))
	}
	replica.ApplyList(branches, version)
	o, err := client.Get(ctx, platform.KindConfig, platform.NameConfig)
	if err != nil {
		return nil, err
	}
	config, err := platform.ReadConfig(o.Body)
	if err != nil {
		return nil, err
	}
	offered := func(kind, name string) bool { return config.Offers(kind == tree.ElemService, name) }
	api := &admin.Admin{
		Trees: service.New(replica, client, discard{}, clock, service.WithOffered(offered)),
		Holds: holds.NewStore(client, clock), Metrics: http.NotFoundHandler(),
	}
	return &storeTransport{local: api.Handler(), daemon: http.DefaultTransport}, nil
}

// discard ignores the branches that an edit has written: the process exits after the
// edit and keeps no copy of the tree.
type discard struct{}

// ApplyBranches implements service.Taker.
func (discard) ApplyBranches([]tree.Branch) {}

// RoundTrip implements http.RoundTripper.
func (t *storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, path := range storeRoutes {
		if r.URL.Path == path || strings.HasPrefix(r.URL.Path, path+"/") {
			if r.Body == nil {
				r.Body = http.NoBody
			}
			w := httptest.NewRecorder()
			t.local.ServeHTTP(w, r)
			return w.Result(), nil
		}
	}
	return t.daemon.RoundTrip(r)
}
