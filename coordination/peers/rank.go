package peers

import "github.com/cespare/xxhash/v2"

// Rank returns the n daemons of a list that rank highest for a key, by rendezvous hashing, best first.
// Daemons that are leaving are left out. Equal lists give equal results, whatever their order.
func Rank(list []Peer, key []byte, n int) []Peer {
	best, scores := make([]Peer, 0, n+1), make([]uint64, 0, n+1)
	data := append([]byte(nil), key...)
	for _, p := range list {
		if p.Leaving {
			continue
		}
		data = append(data[:len(key)], p.Name...)
		score := xxhash.Sum64(data)
		at := len(best)
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= n {
			continue
		}
		best, scores = append(best, Peer{}), append(scores, 0)
		copy(best[at+1:], best[at:])
		copy(scores[at+1:], scores[at:])
		best[at], scores[at] = p, score
		best, scores = best[:min(len(best), n)], scores[:min(len(scores), n)]
	}
	return best
}
