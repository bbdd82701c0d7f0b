package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	wire "primroseward/platform"
)

// Work of an engine: a stream of eventCount events takes 1.2 s, an adapter is loaded in adapterLoad and a model in modelLoad.
const (
	eventCount    = 24
	eventInterval = 50 * time.Millisecond
	adapterLoad   = 6700 * time.Microsecond
	modelLoad     = 1200 * time.Millisecond
)

// engine is a stand-in for a runner of models.
type engine struct {
	*runnerServer
	slots int // for adapters

	mu       sync.Mutex
	sequence uint64
	busy     bool
	models   map[string]*item
	adapters map[string]*item // by MODEL/NAME
	exceeded []string         // orders to load more adapters than the slots hold
	// Of the complete answers the share repeats is sent a second time, where the next one is expected.
	repeats  float64
	repeated map[net.Conn]string
	random   *rand.Rand
	// late is the share of the orders that get no answer and are carried out minLate to maxLate later.
	late   float64
	events int // of a stream
}

// minLate and maxLate are the bounds of the delay of a late order, orderWait is after when its connection is closed.
const (
	minLate   = 2 * time.Second
	maxLate   = 12 * time.Second
	orderWait = time.Second
)

// item is a model or an adapter in the memory of an engine.
type item struct {
	present, leaving bool
	runs             int
}

// usable reports whether requests for the item may run.
func (i *item) usable() bool { return i != nil && i.present && !i.leaving }

// startEngine starts an engine that has some models.
func (w *world) startEngine(id, service, zone string, slots int, repeats float64, models ...string) (*engine, error) {
	e := &engine{
		slots: slots, events: eventCount, models: map[string]*item{}, adapters: map[string]*item{}, repeated: map[net.Conn]string{}, repeats: repeats,
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	}
	for _, m := range models {
		e.models[m] = &item{present: true}
	}
	e.runnerServer = &runnerServer{
		id: id, service: service, zone: zone, slots: 64,
		handle: func(_ *runnerServer, c net.Conn, r *http.Request, body []byte) bool { return e.handle(c, r, body) },
	}
	e.runnerServer.models = e.holdings
	return e, w.startRunner(e.runnerServer)
}

// holdings returns the models and adapters that are present.
func (e *engine) holdings() []wire.HoldingMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []wire.HoldingMessage{}
	for model, m := range e.models {
		if !m.present {
			continue
		}
		h := wire.HoldingMessage{Name: model, Version: 1, Adapters: []string{}}
		for key, a := range e.adapters {
			if of, name, _ := strings.Cut(key, "/"); of == model && a.present {
				h.Adapters = append(h.Adapters, name)
			}
		}
		out = append(out, h)
	}
	return out
}

// handle answers one request, order or report request.
func (e *engine) handle(c net.Conn, r *http.Request, body []byte) bool {
	e.mu.Lock()
	text := e.repeated[c]
	delete(e.repeated, c)
	e.mu.Unlock()
	if text != "" {
		e.w.note("runner %s: the answer to %s %s is preceded by a second answer to an earlier request", e.id, r.Method, r.URL.Path)
		_, _ = io.WriteString(c, text) // fails only if the connection has ended
	}
	switch r.URL.Path {
	case wire.PathReport:
		e.report(c, r)
	case wire.PathOrder:
		return e.order(c, r, body)
	default:
		return e.generate(c, r)
	}
	return true
}

func (e *engine) report(c net.Conn, r *http.Request) {
	models := e.holdings()
	e.mu.Lock()
	coming := []string{}
	for key, a := range e.adapters {
		if !a.present {
			coming = append(coming, key+"@1")
		}
	}
	body, err := json.Marshal(map[string]any{"born": e.born, "models": models, "busy": e.busy, "sequence": e.sequence, "coming": coming})
	e.mu.Unlock()
	if err != nil {
		e.w.note("runner %s: report: %v", e.id, err)
	}
	e.answer(c, r, http.StatusOK, false, string(body))
}

// order carries out an order, and reports whether the connection is kept.
func (e *engine) order(c net.Conn, r *http.Request, body []byte) bool {
	var o wire.OrderMessage
	if json.Unmarshal(body, &o) != nil {
		e.answer(c, r, http.StatusBadRequest, false, "")
		return true
	}
	e.mu.Lock()
	if e.random.Float64() < e.late {
		delay := minLate + time.Duration(e.random.Int64N(int64(maxLate-minLate)))
		e.mu.Unlock()
		e.w.note("runner %s: order %s %s %s of %s, expected %d, gets no answer", e.id, o.Operation, o.Model, o.Adapter, o.Holder, o.Expected)
		time.AfterFunc(delay, func() { e.carryOut(o, "late ") })
		time.Sleep(orderWait)
		return false
	}
	e.mu.Unlock()
	e.answer(c, r, e.carryOut(o, ""), false, "")
	return true
}

// carryOut carries out an order, and returns the status of its answer.
func (e *engine) carryOut(o wire.OrderMessage, when string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.apply(o)
	e.w.note("runner %s: %sorder %s %s %s of %s, expected %d, gets %d; %d adapters", e.id, when, o.Operation, o.Model, o.Adapter, o.Holder, o.Expected, status, len(e.adapters))
	return status
}

// setLate sets the share of the orders that are late.
func (e *engine) setLate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = share
}

// apply carries out an order and returns the status of its answer. The caller holds the lock.
func (e *engine) apply(o wire.OrderMessage) int {
	load := o.Operation == wire.OperationLoad
	if o.Adapter == "" {
		return e.applyModel(o, e.models[o.Model], load)
	}
	return e.applyAdapter(o, e.adapters[o.Model+"/"+o.Adapter], load)
}

// applyModel is apply for a model.
func (e *engine) applyModel(o wire.OrderMessage, m *item, load bool) int {
	switch {
	case load && m.usable(), !load && m == nil:
		return http.StatusOK
	case load && m != nil && !m.present, !load && m.leaving:
		return http.StatusAccepted // the same order is in progress
	case e.busy || o.Expected != e.sequence:
		return http.StatusConflict
	}
	e.sequence++
	if !load {
		m.leaving = true
		e.drop(o.Model)
		return http.StatusAccepted
	}
	m = &item{}
	e.models[o.Model], e.busy = m, true
	time.AfterFunc(modelLoad, func() {
		e.mu.Lock()
		m.present, e.busy = true, false
		e.mu.Unlock()
		_ = e.register(wire.StateReady) // the store is in this process
	})
	return http.StatusAccepted
}

// drop drops a model that is being unloaded, once it has no runs. The caller holds the lock.
func (e *engine) drop(model string) {
	m := e.models[model]
	if m == nil || !m.leaving || m.runs > 0 {
		return
	}
	delete(e.models, model)
	for key := range e.adapters {
		if strings.HasPrefix(key, model+"/") {
			delete(e.adapters, key)
		}
	}
}

// applyAdapter is apply for an adapter.
func (e *engine) applyAdapter(o wire.OrderMessage, a *item, load bool) int {
	key := o.Model + "/" + o.Adapter
	switch {
	case load && a.usable(), !load && a == nil:
		return http.StatusOK
	case load && a != nil && !a.present, !load && a.leaving:
		return http.StatusAccepted // the same order is in progress
	case o.Expected != e.sequence || load && a != nil || !e.models[o.Model].usable():
		return http.StatusConflict
	}
	e.sequence++
	switch {
	case load:
		if len(e.adapters) >= e.slots {
			e.exceeded = append(e.exceeded, key)
			e.w.note("runner %s is ordered to load %s while %d of %d places are taken: it would crash", e.id, key, len(e.adapters), e.slots)
		}
		a = &item{}
		e.adapters[key] = a
		time.AfterFunc(adapterLoad, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			a.present = true
		})
		return http.StatusAccepted
	case a.runs == 0:
		delete(e.adapters, key)
		return http.StatusOK
	}
	a.leaving = true
	return http.StatusAccepted
}

// beginRun counts a run of a model and an adapter, MODEL or MODEL/NAME. It returns false if they may not be used.
func (e *engine) beginRun(model string) bool {
	name, adapter, _ := strings.Cut(model, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	m, a := e.models[name], e.adapters[model]
	if !m.usable() || adapter != "" && !a.usable() {
		return false
	}
	m.runs++
	if a != nil {
		a.runs++
	}
	return true
}

// endRun ends a run.
func (e *engine) endRun(model string) {
	name, _, _ := strings.Cut(model, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.adapters[model]; a != nil && a.runs > 0 {
		if a.runs--; a.runs == 0 && a.leaving {
			delete(e.adapters, model)
		}
	}
	if m := e.models[name]; m != nil && m.runs > 0 {
		m.runs--
		e.drop(name)
	}
}

// generate answers a request with a stream of events.
func (e *engine) generate(c net.Conn, r *http.Request) bool {
	model := r.Header.Get(wire.HeaderModel)
	if !e.beginRun(model) {
		e.answer(c, r, http.StatusMisdirectedRequest, false, "")
		return true
	}
	defer e.endRun(model)
	e.ran(r)
	id := r.Header.Get(wire.HeaderRequestID)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: %s.%s\r\n\r\n", wire.HeaderRequestID, id, wire.HeaderStamp, e.id, id)
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	for i := range e.events + 1 {
		chunk := "0\r\n\r\n"
		if i < e.events {
			time.Sleep(eventInterval)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id)
			chunk = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		text += chunk
		if _, err := io.WriteString(c, chunk); err != nil {
			return false
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() < e.repeats {
		e.repeated[c] = text
	}
	return true
}

// violations returns the orders to load more adapters than the slots hold.
func (e *engine) violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.exceeded...)
}
