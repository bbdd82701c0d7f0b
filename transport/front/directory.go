package front

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"

	"primroseward/coordination/peers"
)

// maxAddresses is the number of addresses that a caller reads from one answer.
const maxAddresses = 64

// Directory answers callers' requests for the addresses of daemons.
type Directory struct {
	Peers *peers.Peers
	Ready func() bool
	// Reply returns the body of an answer, to be encoded as JSON.
	Reply func(addrs []netip.AddrPort) any
	// DataCentre returns the data centre of a caller from its request.
	DataCentre func(r *http.Request) string
}

// ServeHTTP answers with the addresses of the daemons that are alive and serve callers: first those of the caller's data centre, then the others, each in random order.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var near, far []netip.AddrPort
	dataCentre := d.DataCentre(r)
	serving := withPath(d.Peers.Alive())
	for _, p := range serving {
		if p.DataCentre == dataCentre {
			near = append(near, p.Caller)
		} else {
			far = append(far, p.Caller)
		}
	}
	shuffle(near)
	shuffle(far)
	addrs := append(near, far...)
	if len(addrs) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Reply(addrs[:min(len(addrs), maxAddresses)])) // an error means that the caller has disconnected
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, k int) { a[i], a[k] = a[k], a[i] })
}

// withPath returns the daemons that callers are sent to: those that are ready and not leaving,
// without those that have lost their paths to the runners, unless these are the majority. The
// others would have to serve all callers then, whereas a daemon without a path sends requests
// to all of them.
func withPath(all []peers.Peer) []peers.Peer {
	serving := slices.DeleteFunc(all, func(p peers.Peer) bool { return p.Leaving || !p.Ready })
	reaching := slices.DeleteFunc(slices.Clone(serving), func(p peers.Peer) bool { return p.PathLost })
	if 2*len(reaching) < len(serving) {
		return serving
	}
	return reaching
}

// ServeReady answers the platform's readiness check.
func (d *Directory) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if d.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
