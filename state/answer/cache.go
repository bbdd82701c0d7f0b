package answer

import (
	"container/list"
	"sync"
	"time"

	"primroseward/core"
)

// maxTombstones bounds the number of keys kept of dropped answers.
const maxTombstones = 100000

// Cache holds the answers of a process. Finished answers are bounded in bytes and time.
type Cache struct {
	clock core.Clock
	limit int64         // bytes of finished answers
	ttl   time.Duration // of finished answers

	mu       sync.Mutex
	held     map[string]*Held
	finished *list.List          // of *Held, oldest first
	gone     map[string]struct{} // keys of answers dropped by trim
	goneKeys *list.List          // of the keys in gone, oldest first
	bytes    int64               // of finished answers
}

// Held is one request with its answer.
type Held struct {
	Key         string
	Fingerprint uint64 // fingerprint of the request
	Buffer      *Buffer

	finishedAt time.Time
	elem       *list.Element // in Cache.finished; nil while the answer is in progress
	size       int64         // bytes of the finished answer
}

// NewCache returns an empty Cache that holds finished answers for ttl and at most limit
// bytes of them.
func NewCache(clock core.Clock, limit int64, ttl time.Duration) *Cache {
	return &Cache{
		clock:    clock,
		limit:    limit,
		ttl:      ttl,
		held:     map[string]*Held{},
		finished: list.New(),
		gone:     map[string]struct{}{},
		goneKeys: list.New(),
	}
}

// Begin adds a request and returns it with true. If the key is in use, it returns the
// request that has it and false.
func (k *Cache) Begin(key string, fingerprint uint64) (*Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.held[key]; ok {
		return h, false
	}
	h := &Held{Key: key, Fingerprint: fingerprint, Buffer: NewBuffer()}
	k.held[key] = h
	return h, true
}

// Get returns the held answer of a key. core.ErrGone means that it was held and has been
// dropped; core.ErrNotFound, that the key is unknown.
func (k *Cache) Get(key string) (*Held, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.held[key]; ok {
		return h, nil
	}
	if _, ok := k.gone[key]; ok {
		return nil, core.ErrGone
	}
	return nil, core.ErrNotFound
}

// MarkFinished marks the answer of a request as ended. From then on it may be dropped, oldest
// first, when its TTL has passed or the byte limit is exceeded.
func (k *Cache) MarkFinished(h *Held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h.elem != nil || k.held[h.Key] != h {
		return
	}
	h.finishedAt = k.clock.Now()
	h.size = h.Buffer.Size()
	h.elem = k.finished.PushBack(h)
	k.bytes += h.size
	k.trim()
}

// Forget removes a request whose outcome need not be held, such as a refusal, so that
// the same id can be sent again.
func (k *Cache) Forget(h *Held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[h.Key] == h {
		k.remove(h)
	}
}

// Trim drops finished answers whose TTL has passed.
func (k *Cache) Trim() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.trim()
}

// trim drops finished answers whose TTL has passed or that exceed the byte limit. The
// caller holds the lock.
func (k *Cache) trim() {
	for k.finished.Len() > 0 {
		h := k.finished.Front().Value.(*Held)
		if k.bytes <= k.limit && k.clock.Since(h.finishedAt) < k.ttl {
			return
		}
		k.remove(h)
		k.addTombstone(h.Key)
	}
}

func (k *Cache) remove(h *Held) {
	delete(k.held, h.Key)
	if h.elem != nil {
		k.finished.Remove(h.elem)
		k.bytes -= h.size
	}
}

// addTombstone records the key of a dropped answer. The caller holds the lock.
func (k *Cache) addTombstone(key string) {
	k.gone[key] = struct{}{}
	k.goneKeys.PushBack(key)
	if k.goneKeys.Len() > maxTombstones {
		first := k.goneKeys.Front()
		delete(k.gone, first.Value.(string))
		k.goneKeys.Remove(first)
	}
}

// Bytes returns the total size of the finished answers.
func (k *Cache) Bytes() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes
}

// All returns the finished answers, oldest first.
func (k *Cache) All() []*Held {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*Held
	for e := k.finished.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*Held))
	}
	return out
}
