package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"primroseward/core"
	"primroseward/state/directory"
	"primroseward/state/tree"
)

// Request is a request of a caller.
type Request struct {
	ID           string // request id, chosen by the caller or generated
	MayReconnect bool   // the caller chose the id or sent a key, so it may reconnect and fetch the answer
	Scope        string // namespace of the caller's ids and keys, which keeps them apart from those of other callers
	Key          string // idempotency key; empty if there is none
	Service      string
	Model        string // empty for plain services
	Class        core.Class
	Method       string
	Path         string // including the query string
	Header       http.Header
	Body         []byte
	Prefix       []byte // start of the prompt
	Stream       bool
	Repeatable   bool // the request is repeatable (idempotent)
	Deadline     time.Time
	Digest       core.Digest // hash of the content; equal when a caller sends the same request again
}

// digest returns the hash of the request's content, which does not depend on
// the caller.
func (a *Request) digest() core.Digest {
	return core.DigestOf(&core.Request{Method: a.Method, Host: a.Service + "/" + a.Model, Target: a.Path, Body: a.Body})
}

// answerKey returns the key under which the answer is stored.
func (a *Request) answerKey() string {
	if a.Key != "" {
		return AnswerKey(a.Scope, "key:"+a.Key)
	}
	return AnswerKey(a.Scope, a.ID)
}

// AnswerKey joins a caller's scope and a request id to the key of an answer.
func AnswerKey(scope, id string) string { return scope + "/" + id }

// fingerprint returns a hash that shows whether a second request with the same
// id or key has the same content.
func (a *Request) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{a.Method, a.Path, a.Service, a.Model} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(a.Body)
	return d.Sum64()
}

// directoryKey returns the key of the request's model or service in the
// directory of runners.
func (a *Request) directoryKey() string {
	if a.Model != "" {
		return directory.ModelKey(a.Model)
	}
	return directory.ServiceKey(a.Service)
}

// selector returns the selector by which the settings tree is evaluated for
// the request.
func (a *Request) selector(dataCentre string) tree.Selector {
	return tree.Selector{Service: a.Service, Model: a.Model, DataCentre: dataCentre}
}
