package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// OrderKind is the action that an order commands.
type OrderKind string

// Kinds of order.
const (
	OrderLoad  OrderKind = "load"
	OrderEvict OrderKind = "evict"
)

// Order is one command to a runner. Fence is the version of the runner's record
// that authorises the order.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Bytes   int64     `json:"bytes"`
	Fence   uint64    `json:"fence"`
	ID      string    `json:"id"`
}

// Resident is a model that an endpoint reports as loaded.
type Resident struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	Ready   bool   `json:"ready"`
}

// Observation is an endpoint's own report. Fence is the highest fencing number
// that it has seen; endpoints that ignore fencing report 0.
type Observation struct {
	Residents []Resident `json:"residents"`
	Fence     uint64     `json:"fence"`
	Running   int        `json:"running"`
	Leaving   bool       `json:"leaving"`
	Instance  string     `json:"boot"` // changes when the endpoint restarts
}

// Call is one request to an endpoint.
type Call struct {
	Attempt      string
	Method       string
	Path         string
	Header       http.Header
	Body         []byte
	Repeatable   bool // the transport may send it again
	Class        Class
	StallTimeout time.Duration // longest time without receiving a byte
}

// Answer is an endpoint's answer. Body ends with io.EOF only if the answer is
// complete.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Endpoint is a model engine or a plain service.
type Endpoint interface {
	// Do sends a call. Its error is a *RequestError whose outcome states whether
	// the endpoint may have received the request.
	Do(ctx context.Context, c Call) (*Answer, error)
	// Resume reads an attempt's answer again from an offset in its body. It
	// fails with ErrNotFound if the endpoint does not keep streams.
	Resume(ctx context.Context, c Call, offset int64) (*Answer, error)
	// Cancel stops an attempt whose caller has disconnected.
	Cancel(ctx context.Context, attempt string) error
	Observe(ctx context.Context) (Observation, error)
	Order(ctx context.Context, o Order) error
}
