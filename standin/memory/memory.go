// Package memory is a platform's store in memory, for tests in virtual time. It
// can be cut off, lose answers and forget its history.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"primroseward/core"
)

// watchWait is how long a watch without changes waits, as the real client's.
const watchWait = 3 * time.Second

// Store implements core.Platform.
type Store struct {
	mu       sync.Mutex
	version  uint64
	objects  map[string]core.Object
	history  []core.Event
	oldest   uint64 // changes up to this version are forgotten
	changed  chan struct{}
	dropping bool
}

// New returns an empty Store.
func New() *Store {
	return &Store{objects: map[string]core.Object{}, changed: make(chan struct{})}
}

// Client is the store as one daemon reaches it.
type Client struct {
	store *Store
	mu    sync.Mutex
	cut   bool
	lose  int
	calls int
}

var _ core.Platform = (*Client)(nil)

// Client returns a new way to the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// Cut lets all calls of this client fail, or work again.
func (c *Client) Cut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	c.store.wake()
}

// LoseAnswers lets the next n writes take effect and fail.
func (c *Client) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = n
}

// DropEvents lets waiting watches hear nothing.
func (s *Store) DropEvents(dropping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropping = dropping
}

// Forget drops the history: older watches fail with ErrGone.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Put writes an object past all conditions, as operators and runners do.
func (s *Store) Put(kind, name, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(core.Object{Kind: kind, Name: name, Body: []byte(body)}, false)
}

// Remove drops an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(core.Object{Kind: kind, Name: name}, true)
}

func (s *Store) put(o core.Object, removed bool) core.Object {
	s.version++
	o.Version = s.version
	key := o.Kind + "/" + o.Name
	s.objects[key] = o
	if removed {
		delete(s.objects, key)
	}
	s.history = append(s.history, core.Event{Object: o, Deleted: removed})
	if !s.dropping {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return o
}

func (s *Store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls is how many calls, and looks of waiting watches, were made so far.
func (c *Client) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Version is the store's version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (c *Client) reached() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.cut {
		return core.ErrUnavailable
	}
	return nil
}

// answered is the outcome of a write that took effect.
func (c *Client) answered(o core.Object) (core.Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lose > 0 {
		c.lose--
		return core.Object{}, core.ErrUnavailable
	}
	return o, nil
}

// Get reads one object.
func (c *Client) Get(_ context.Context, kind, name string) (core.Object, error) {
	if err := c.reached(); err != nil {
		return core.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	o, ok := c.store.objects[kind+"/"+name]
	if !ok {
		return core.Object{}, core.ErrNotFound
	}
	return o, nil
}

// List reads all objects of a kind.
func (c *Client) List(_ context.Context, kind string) ([]core.Object, uint64, error) {
	if err := c.reached(); err != nil {
		return nil, 0, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	var out []core.Object
	for _, o := range c.store.objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b core.Object) int { return strings.Compare(a.Name, b.Name) })
	return out, c.store.version, nil
}

// Create writes a new object.
func (c *Client) Create(_ context.Context, o core.Object) (core.Object, error) {
	if err := c.reached(); err != nil {
		return core.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if _, taken := c.store.objects[o.Kind+"/"+o.Name]; taken {
		return core.Object{}, core.ErrExists
	}
	return c.answered(c.store.put(o, false))
}

// Update replaces an object whose version is o.Version.
func (c *Client) Update(_ context.Context, o core.Object) (core.Object, error) {
	if err := c.reached(); err != nil {
		return core.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.objects[o.Kind+"/"+o.Name].Version != o.Version {
		return core.Object{}, core.ErrConflict
	}
	return c.answered(c.store.put(o, false))
}

// Delete removes an object whose version is o.Version.
func (c *Client) Delete(_ context.Context, o core.Object) error {
	if err := c.reached(); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.objects[o.Kind+"/"+o.Name].Version != o.Version {
		return core.ErrConflict
	}
	_, err := c.answered(c.store.put(o, true))
	return err
}

// Watch reports changes as the real client does.
func (c *Client) Watch(ctx context.Context, kind string, version uint64, fn func(core.Event)) error {
	for {
		over := time.NewTimer(watchWait)
		events, current, err := c.next(ctx, kind, version, over.C)
		over.Stop()
		if err != nil {
			return err
		}
		for _, e := range events {
			fn(e)
		}
		version = current
		fn(core.Event{Object: core.Object{Kind: kind, Version: version}})
	}
}

// next is one wait of a watch.
func (c *Client) next(ctx context.Context, kind string, version uint64, over <-chan time.Time) ([]core.Event, uint64, error) {
	for ended := false; ; {
		if err := c.reached(); err != nil {
			return nil, 0, err
		}
		c.store.mu.Lock()
		if version < c.store.oldest {
			c.store.mu.Unlock()
			return nil, 0, core.ErrGone
		}
		var out []core.Event
		for _, e := range c.store.history {
			if e.Object.Version > version && e.Object.Kind == kind {
				out = append(out, e)
			}
		}
		current, changed := c.store.version, c.store.changed
		c.store.mu.Unlock()
		if len(out) > 0 || ended {
			return out, current, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		case <-over:
			ended = true
		}
	}
}
