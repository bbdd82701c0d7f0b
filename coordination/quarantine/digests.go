package quarantine

import "primroseward/core"

// digests keeps a value for each of the digests that were used last. It is not safe for concurrent use.
type digests[V any] struct {
	most     int // digests that are kept
	byDigest map[core.Digest]*digestEntry[V]
	ring     []core.Digest
	next     int
}

// digestEntry is a value, and whether it was used again since the ring last came to it.
type digestEntry[V any] struct {
	value V
	again bool
}

func newDigests[V any](most int) *digests[V] {
	return &digests[V]{most: most, byDigest: map[core.Digest]*digestEntry[V]{}}
}

// use returns the value of a digest, the zero value if it is new. When full, it drops the oldest digest that was not used
// again, so that those that are used often stay.
func (k *digests[V]) use(d core.Digest) *V {
	if e := k.byDigest[d]; e != nil {
		e.again = true
		return &e.value
	}
	e := &digestEntry[V]{}
	k.byDigest[d] = e
	if len(k.ring) < k.most {
		k.ring = append(k.ring, d)
		return &e.value
	}
	k.dropOldest()
	k.ring[k.next] = d
	k.next = (k.next + 1) % k.most
	return &e.value
}

// dropOldest drops a digest and leaves next at its place in the ring.
func (k *digests[V]) dropOldest() {
	for {
		oldest := k.ring[k.next]
		e := k.byDigest[oldest]
		if !e.again {
			delete(k.byDigest, oldest)
			return
		}
		e.again = false
		k.next = (k.next + 1) % k.most
	}
}

// get returns the value of a digest, nil if it is not kept.
func (k *digests[V]) get(d core.Digest) *V {
	if e := k.byDigest[d]; e != nil {
		return &e.value
	}
	return nil
}
