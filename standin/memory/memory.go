// Package memory implements the platform's store in memory, for tests in virtual time. It
// can simulate lost connections, lost answers and a dropped history.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"primroseward/core"
)

// watchWait is how long a watch waits for changes, the same as in the real client.
const watchWait = 3 * time.Second

// Store implements core.Platform.
type Store struct {
	mu       sync.Mutex
	version  uint64 // of the last change
	objects  map[string]core.Object
	history  []core.Event
	oldest   uint64        // changes up to this version are no longer in history
	changed  chan struct{} // closed to wake waiting watches
	dropping bool          // changes do not wake watches
}

// New returns an empty Store.
func New() *Store {
	return &Store{objects: map[string]core.Object{}, changed: make(chan struct{})}
}

// Client is one daemon's connection to the store.
type Client struct {
	store *Store
	mu    sync.Mutex
	cut   bool // all calls fail
	lose  int  // writes that take effect and fail
	calls int
}

var _ core.Platform = (*Client)(nil)

// Client returns a new client of the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetDisconnected makes all calls of this client fail, or succeed again.
func (c *Client) SetDisconnected(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	c.store.wakeWatches()
}

// LoseAnswers makes the next n writes take effect but return ErrUnavailable.
func (c *Client) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = n
}

// DropEvents makes changes stop waking waiting watches, or wake them again.
func (s *Store) DropEvents(dropping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropping = dropping
}

// DropHistory drops the history: watches from an older version fail with ErrGone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Put writes an object without checking its version, as operators and runners do.
func (s *Store) Put(kind, name, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(core.Object{Kind: kind, Name: name, Body: []byte(body)}, false)
}

// Remove deletes an object without checking its version.
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

func (s *Store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls so far; each check by a waiting watch counts as one.
func (c *Client) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Version returns the version of the last change.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// call counts a call and fails if the client is cut off.
func (c *Client) call() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.cut {
		return core.ErrUnavailable
	}
	return nil
}

// writeResult returns the outcome of a write that took effect: o, or an error if its answer
// is to be lost.
func (c *Client) writeResult(o core.Object) (core.Object, error) {
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
	if err := c.call(); err != nil {
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
	if err := c.call(); err != nil {
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
	if err := c.call(); err != nil {
		return core.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if _, exists := c.store.objects[o.Kind+"/"+o.Name]; exists {
		return core.Object{}, core.ErrExists
	}
	return c.writeResult(c.store.put(o, false))
}

// Update replaces an object whose version is o.Version.
func (c *Client) Update(_ context.Context, o core.Object) (core.Object, error) {
	if err := c.call(); err != nil {
		return core.Object{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.objects[o.Kind+"/"+o.Name].Version != o.Version {
		return core.Object{}, core.ErrConflict
	}
	return c.writeResult(c.store.put(o, false))
}

// Delete removes an object whose version is o.Version.
func (c *Client) Delete(_ context.Context, o core.Object) error {
	if err := c.call(); err != nil {
		return err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.store.objects[o.Kind+"/"+o.Name].Version != o.Version {
		return core.ErrConflict
	}
	_, err := c.writeResult(c.store.put(o, true))
	return err
}

// Watch passes changes to fn, and the version reached after each wait, as the real client
// does.
func (c *Client) Watch(ctx context.Context, kind string, version uint64, fn func(core.Event)) error {
	for {
		timeout := time.NewTimer(watchWait)
		events, current, err := c.next(ctx, kind, version, timeout.C)
		timeout.Stop()
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

// next waits for changes after version until timeout fires, and returns them with the
// store's version.
func (c *Client) next(ctx context.Context, kind string, version uint64, timeout <-chan time.Time) ([]core.Event, uint64, error) {
	for timedOut := false; ; {
		if err := c.call(); err != nil {
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
		if len(out) > 0 || timedOut {
			return out, current, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-changed:
		case <-timeout:
			timedOut = true
		}
	}
}
