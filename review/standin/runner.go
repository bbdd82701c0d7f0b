package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in for one runner. It prints a line for each request and order.
type runner struct {
	id, service, zone, store string
	slots, events            int
	interval                 time.Duration
	unframed                 bool
	fatal                    string // part of prompts under which the process exits; empty: none

	mu        sync.Mutex
	models    map[string][]string
	sequence  int
	running   int
	draining  bool
	remaining time.Time
}

func runRunner(args []string) {
	r := &runner{models: map[string][]string{}}
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	addr := flags.String("addr", "", "IP:port to listen on")
	models := flags.String("models", "", "models that are loaded at the start")
	flags.StringVar(&r.id, "id", "", "id")
	flags.StringVar(&r.service, "service", "", "service")
	flags.StringVar(&r.zone, "zone", "", "zone")
	flags.StringVar(&r.store, "store", "", "IP:port of the platform's store")
	flags.IntVar(&r.slots, "slots", 32, "slots")
	flags.IntVar(&r.events, "events", 0, "events of a stream; 0: plain answers")
	flags.DurationVar(&r.interval, "interval", 50*time.Millisecond, "time between events, or of a plain answer")
	flags.StringVar(&r.fatal, "fatal", "", "part of prompts under which the process exits as it begins to answer")
	flags.BoolVar(&r.unframed, "unframed", false, "streams have no length and end with their connection")
	_ = flags.Parse(args)
	for _, m := range strings.Fields(strings.ReplaceAll(*models, ",", " ")) {
		r.models[m] = []string{}
	}
	ln, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(exitFailed)
	}
	go r.beat(*addr)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", r.report)
	mux.HandleFunc("POST /v1/order", r.order)
	mux.HandleFunc("GET /health", r.health)
	mux.HandleFunc("POST /_drain", func(_ http.ResponseWriter, q *http.Request) {
		ms, _ := strconv.Atoi(q.URL.Query().Get("remaining_ms"))
		r.mu.Lock()
		r.draining, r.remaining = true, time.Now().Add(time.Duration(ms)*time.Millisecond)
		r.mu.Unlock()
		r.register(*addr)
		r.print("draining", "-")
	})
	mux.HandleFunc("POST /_fatal", func(_ http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		r.fatal = q.URL.Query().Get("part")
		r.mu.Unlock()
	})
	mux.HandleFunc("/", r.serve)
	_ = http.Serve(ln, mux)
}

func (r *runner) print(what, id string) {
	fmt.Printf("%s %s %s %s\n", time.Now().Format("15:04:05.000"), r.id, what, id)
}

func (r *runner) beat(addr string) {
	for {
		r.register(addr)
		time.Sleep(heartbeat)
	}
}

// holdings returns the loaded models; the caller holds the lock.
func (r *runner) holdings() []map[string]any {
	out := []map[string]any{}
	for m, adapters := range r.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return out
}

func (r *runner) register(addr string) {
	r.mu.Lock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": r.service, "address": addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": r.holdings(), "sequence": r.sequence,
	}
	if left := time.Until(r.remaining); r.draining && left > 0 {
		spec["remaining_ms"] = left.Milliseconds()
	}
	r.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"metadata": map[string]any{"name": r.id}, "spec": spec})
	base := "http://" + r.store + objectsPath + "servers"
	if call(http.MethodPut, base+"/"+r.id, body) == http.StatusNotFound {
		call(http.MethodPost, base, body)
	}
}

var storeClient = &http.Client{Timeout: time.Second}

func call(method, url string, body []byte) int {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := storeClient.Do(q)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": r.holdings(), "busy": false, "sequence": r.sequence, "waiting": 0, "running": r.running,
		"kv_used": 0, "kv_total": 100433, "handles": 0,
	})
}

func (r *runner) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Primroseward-Instance-Id", r.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// order carries out an order at once.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int
		Fence                             uint64 `json:"fencing_token"`
	}
	if q.Header.Get("X-Primroseward-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status := http.StatusOK
	adapters, loaded := r.models[o.Model]
	at := -1
	for i, a := range adapters {
		if a == o.Adapter {
			at = i
		}
	}
	if o.Adapter != "" {
		loaded = at >= 0
	}
	switch {
	case loaded == (o.Operation == "load"):
	case o.Expected != nil && *o.Expected != r.sequence:
		status = http.StatusConflict
	default:
		status = http.StatusAccepted
		r.sequence++
		switch {
		case o.Operation == "load" && o.Adapter == "":
			r.models[o.Model] = []string{}
		case o.Operation == "load":
			r.models[o.Model] = append(adapters, o.Adapter)
		case o.Adapter == "":
			delete(r.models, o.Model)
		default:
			r.models[o.Model] = append(adapters[:at:at], adapters[at+1:]...)
		}
	}
	r.mu.Unlock()
	r.print(fmt.Sprintf("order %s %s/%s holder=%s fence=%d status=%d", o.Operation, o.Model, o.Adapter, o.Holder, o.Fence, status), "-")
	w.WriteHeader(status)
}

// refuse states that the request was not run.
func (r *runner) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Primroseward-Not-Run", "1")
	w.Header().Set("X-Primroseward-Instance-Id", r.id)
	w.WriteHeader(status)
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Primroseward-Request-Id")
	w.Header().Set("X-Primroseward-Request-Id", id)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.Header.Get("X-Primroseward-Expect-Instance") != r.id {
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	model, _, _ := strings.Cut(q.Header.Get("X-Primroseward-Model"), "/")
	r.mu.Lock()
	_, loaded := r.models[model]
	full := r.running >= 2*r.slots
	if !full && (loaded || model == "") {
		r.running++
	}
	r.mu.Unlock()
	if model != "" && !loaded {
		r.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if full {
		r.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.print(fmt.Sprintf("runs bytes=%d after=%q parts=%s", len(body), q.Header.Get("Last-Event-Id"), q.Header.Get("X-Primroseward-Prompt-Prefix")), id)
	stamp := r.id + "." + id
	w.Header().Set("X-Primroseward-Server-Stamp", stamp)
	w.Header().Set("X-Primroseward-Weight-Versions", "1")
	if r.events == 0 {
		time.Sleep(r.interval)
		_, _ = fmt.Fprintf(w, "%s %d bytes\n", stamp, len(body))
		r.print("ends whole", id)
		return
	}
	r.mu.Lock()
	fatal := r.fatal != "" && strings.Contains(q.Header.Get("X-Primroseward-Prompt-Prefix"), r.fatal+":")
	r.mu.Unlock()
	if fatal {
		time.Sleep(r.interval)
		r.print("crashes", id)
		os.Exit(1)
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err := r.stream(w, id, stamp, first); err != nil {
		r.print("ends early", id)
		return
	}
	r.print("ends whole", id)
}

// stream writes the events after the given one.
func (r *runner) stream(w http.ResponseWriter, id, stamp string, after int) error {
	var out io.Writer = w
	if r.unframed {
		hijacker, ok := w.(http.Hijacker)
		if !ok {
			return errors.New("no connection")
		}
		conn, _, err := hijacker.Hijack()
		if err != nil {
			return err
		}
		defer conn.Close()
		out = conn
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Primroseward-Request-Id: %s\r\n"+
			"X-Primroseward-Server-Stamp: %s\r\nX-Primroseward-Weight-Versions: 1\r\n\r\n", id, stamp); err != nil {
			return err
		}
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for n := after + 1; n <= r.events; n++ {
		time.Sleep(r.interval)
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return err
		}
		if f, ok := out.(http.Flusher); ok {
			f.Flush()
		}
	}
	return nil
}
