package core

import (
	"context"
	"encoding/json"
)

// Object is one versioned value of the platform's object API.
type Object struct {
	Kind    string
	Name    string
	Version uint64   // grows with every write to any object
	Changes []string // ids of the latest writes, newest first
	Body    json.RawMessage
}

// Event is one change that a watch reports.
type Event struct {
	Object  Object
	Deleted bool
}

// Platform is the object API for durable state. Writes whose answer is lost are
// sent again and recognised by their change id. ErrUnavailable from a write means
// that it may or may not take effect; ErrOverwritten that it did, and that another
// write followed; any other error that it never will.
type Platform interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version of the list.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Create fails with ErrExists when the name is taken.
	Create(ctx context.Context, o Object) (Object, error)
	// Update fails with ErrConflict unless o.Version is the stored one.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete fails with ErrConflict unless o.Version is the stored one.
	Delete(ctx context.Context, o Object) error
	// Watch calls fn for each change after version until ctx ends or the
	// watch breaks.
	Watch(ctx context.Context, kind string, version uint64, fn func(Event)) error
}
