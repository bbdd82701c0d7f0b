// Package platform is the client of the platform's object API. The wire form
// follows the Kubernetes API conventions: resourceVersion for conditional
// updates, 409 for conflicts, JSON lines for watches.
package platform

import (
	"encoding/json"
	"strconv"
	"strings"

	"primroseward/core"
)

// Prefix is the path below which all objects lie.
const Prefix = "/apis/primroseward.dev/v1/"

// AnnotationChanges holds the ids of the latest writes, newest first.
const AnnotationChanges = "primroseward.dev/changes"

// recentChanges bounds the change ids kept with an object. A writer whose
// answer was lost recognises its write as long as fewer others follow it.
const recentChanges = 16

// Meta is an object's metadata.
type Meta struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Item is one object on the wire.
type Item struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// List is a snapshot of a kind.
type List struct {
	Metadata Meta   `json:"metadata"`
	Items    []Item `json:"items"`
}

// WatchEvent is one line of a watch.
type WatchEvent struct {
	Type   string `json:"type"` // ADDED, MODIFIED, DELETED, BOOKMARK
	Object Item   `json:"object"`
}

// Types of watch events.
const (
	EventAdded    = "ADDED"
	EventModified = "MODIFIED"
	EventDeleted  = "DELETED"
	EventBookmark = "BOOKMARK"
)

// DeleteOptions carries the precondition of a delete.
type DeleteOptions struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion,omitempty"`
	} `json:"preconditions"`
}

// Status is the body of an error answer.
type Status struct {
	Reason  string `json:"reason"` // NotFound, AlreadyExists, Conflict, Expired
	Message string `json:"message"`
}

// Reasons of a Status.
const (
	ReasonNotFound      = "NotFound"
	ReasonAlreadyExists = "AlreadyExists"
	ReasonConflict      = "Conflict"
	ReasonExpired       = "Expired"
)

func (i Item) object(kind string) (core.Object, error) {
	v, err := strconv.ParseUint(i.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return core.Object{}, core.ErrInvalid
	}
	o := core.Object{Kind: kind, Name: i.Metadata.Name, Version: v, Body: i.Spec}
	if list := i.Metadata.Annotations[AnnotationChanges]; list != "" {
		o.Changes = strings.Split(list, ",")
	}
	return o, nil
}

func itemOf(o core.Object, change string) Item {
	changes := append([]string{change}, o.Changes...)
	if len(changes) > recentChanges {
		changes = changes[:recentChanges]
	}
	i := Item{Spec: o.Body}
	i.Metadata.Name = o.Name
	i.Metadata.Annotations = map[string]string{AnnotationChanges: strings.Join(changes, ",")}
	if o.Version > 0 {
		i.Metadata.ResourceVersion = strconv.FormatUint(o.Version, 10)
	}
	return i
}
