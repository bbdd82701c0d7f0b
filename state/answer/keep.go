package answer

import (
	"container/list"
	"sync"
	"time"

	"primroseward/core"
)

// tombstones bounds the ids of answers that were dropped.
const tombstones = 100000

// Keep is the set of answers that a process holds, bounded in bytes and time.
type Keep struct {
	clock core.Clock
	limit int64
	life  time.Duration

	mu       sync.Mutex
	held     map[string]*Held
	finished *list.List // of *Held, oldest first
	gone     map[string]struct{}
	goneList *list.List
	bytes    int64
}

// Held is one request with its answer.
type Held struct {
	Key    string
	Print  uint64 // fingerprint of the request
	Buffer *Buffer

	at   time.Time
	elem *list.Element
	size int64
}

// NewKeep returns an empty set that holds finished answers for life and at
// most limit bytes of them.
func NewKeep(clock core.Clock, limit int64, life time.Duration) *Keep {
	return &Keep{
		clock:    clock,
		limit:    limit,
		life:     life,
		held:     map[string]*Held{},
		finished: list.New(),
		gone:     map[string]struct{}{},
		goneList: list.New(),
	}
}

// Begin adds a request. When the key is taken it returns the one that holds it
// and false.
func (k *Keep) Begin(key string, fingerprint uint64) (*Held, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.held[key]; ok {
		return h, false
	}
	h := &Held{Key: key, Print: fingerprint, Buffer: NewBuffer()}
	k.held[key] = h
	return h, true
}

// Get returns the held answer of a key. ErrGone means that it was held once.
func (k *Keep) Get(key string) (*Held, error) {
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

// Finished tells that a request's answer has ended and may be dropped when its
// time is over or room is needed, oldest first.
func (k *Keep) Finished(h *Held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h.elem != nil || k.held[h.Key] != h {
		return
	}
	h.at = k.clock.Now()
	h.size = h.Buffer.Size()
	h.elem = k.finished.PushBack(h)
	k.bytes += h.size
	k.trim()
}

// Forget drops a request that left nothing to hold, such as a refusal, so that
// the same id can be tried again.
func (k *Keep) Forget(h *Held) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[h.Key] == h {
		k.remove(h)
	}
}

// Trim drops answers whose time is over.
func (k *Keep) Trim() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.trim()
}

func (k *Keep) trim() {
	for k.finished.Len() > 0 {
		h := k.finished.Front().Value.(*Held)
		if k.bytes <= k.limit && k.clock.Since(h.at) < k.life {
			return
		}
		k.remove(h)
		k.bury(h.Key)
	}
}

func (k *Keep) remove(h *Held) {
	delete(k.held, h.Key)
	if h.elem != nil {
		k.finished.Remove(h.elem)
		k.bytes -= h.size
	}
}

func (k *Keep) bury(key string) {
	k.gone[key] = struct{}{}
	k.goneList.PushBack(key)
	if k.goneList.Len() > tombstones {
		first := k.goneList.Front()
		delete(k.gone, first.Value.(string))
		k.goneList.Remove(first)
	}
}

// Bytes returns the bytes of finished answers held.
func (k *Keep) Bytes() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes
}

// All returns the finished answers, oldest first.
func (k *Keep) All() []*Held {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*Held
	for e := k.finished.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*Held))
	}
	return out
}
