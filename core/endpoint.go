package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// OrderKind is what an order asks of a runner.
type OrderKind string

// Kinds of order.
const (
	OrderLoad  OrderKind = "load"
	OrderEvict OrderKind = "evict"
)

// Order is one instruction to a runner. Fence is the version of the runner's
// record that authorises it.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Bytes   int64     `json:"bytes"`
	Fence   uint64    `json:"fence"`
	ID      string    `json:"id"`
}

// Resident is one model that an endpoint reports to hold.
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
	Boot      string     `json:"boot"` // changes when the endpoint restarts
}

// Call is one request to an endpoint.
type Call struct {
	Attempt string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Repeat  bool // may be sent again by a transport
	Class   Class
	Stall   time.Duration // longest time without a byte
}

// Answer is an endpoint's reply. Body ends with io.EOF only if the answer is
// whole.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Endpoint is a model engine or a plain service.
type Endpoint interface {
	// Do sends a call. Its error is a *RequestError that says whether the
	// endpoint can have seen the request.
	Do(ctx context.Context, c Call) (*Answer, error)
	// Resume reads an attempt's answer again from an offset in its body. It
	// fails with ErrNotFound where the endpoint does not keep streams.
	Resume(ctx context.Context, c Call, offset int64) (*Answer, error)
	// Cancel stops an attempt whose caller has gone.
	Cancel(ctx context.Context, attempt string) error
	Observe(ctx context.Context) (Observation, error)
	Order(ctx context.Context, o Order) error
}
