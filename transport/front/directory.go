package front

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"

	"primroseward/coordination/peers"
)

// maxAddresses is how many addresses a caller reads of one answer.
const maxAddresses = 64

// Directory tells callers which addresses to use.
type Directory struct {
	Peers *peers.Peers
	Ready func() bool
	// Reply writes an answer in the form that callers read.
	Reply func(addrs []netip.AddrPort) any
	// Place reads a caller's place from its question.
	Place func(r *http.Request) string
}

// ServeHTTP answers with the daemons that are alive, ready and not leaving.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var near, far []netip.AddrPort
	place := d.Place(r)
	for _, p := range d.Peers.Alive() {
		if p.Leaving || !p.Ready {
			continue
		}
		if p.Place == place {
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
	_ = json.NewEncoder(w).Encode(d.Reply(addrs[:min(len(addrs), maxAddresses)])) // a caller that has gone reads nothing
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, k int) { a[i], a[k] = a[k], a[i] })
}

// ServeReady answers the platform's question whether the daemon is ready.
func (d *Directory) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if d.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
