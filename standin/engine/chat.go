package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"primroseward/core"
)

const (
	defaultTokens = 16
	streamTTL     = time.Minute // how long a stream can be resumed
	maxBody       = 64 << 20    // bytes
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Continue  bool      `json:"continue_final_message"`
}

// ExpectedAnswer returns the complete answer of n tokens to a prompt, as tests expect it.
func ExpectedAnswer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(model, prompt, i))
	}
	return b.String()
}

func token(model, prompt string, i int) string {
	return fmt.Sprintf("%s:%d:%x ", model, i, xxhash.Sum64String(prompt)&0xffff)
}

// split returns the prompt and, for a request that continues an answer, the part of the
// answer that the request contains.
func (r chatRequest) split() (prompt, prefix string) {
	if len(r.Messages) == 0 {
		return r.Prompt, ""
	}
	messages := r.Messages
	if last := messages[len(messages)-1]; r.Continue && last.Role == "assistant" {
		prefix = last.Content
		messages = messages[:len(messages)-1]
	}
	for _, m := range messages {
		prompt += m.Role + "=" + m.Content + "\n"
	}
	return prompt, prefix
}

// Prompt returns the prompt, as ExpectedAnswer expects it, of one user message.
func Prompt(content string) string { return "user=" + content + "\n" }

// stream is an answer in progress, kept so that it can be resumed.
type stream struct {
	mu      sync.Mutex
	data    []byte
	done    bool
	changed chan struct{}
	stop    context.CancelFunc
	header  http.Header
}

func (st *stream) write(b []byte, done bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.data = append(st.data, b...)
	st.done = st.done || done
	close(st.changed)
	st.changed = make(chan struct{})
}

// from returns the data from an offset, whether the answer is complete, and the channel
// that is closed at the next write.
func (st *stream) from(offset int) ([]byte, bool, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if offset > len(st.data) {
		offset = len(st.data)
	}
	return st.data[offset:], st.done, st.changed
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(core.HeaderRequestID)
	var req chatRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&req); err != nil {
		w.Header().Set(core.HeaderRequestID, attempt)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, prefix := req.split()
	faults, ok := s.begin(attempt, req.Model, prompt, r.Header.Get(core.HeaderIdempotencyKey))
	w.Header().Set(core.HeaderRequestID, attempt)
	if !ok {
		http.Error(w, "model is not ready", http.StatusNotFound)
		return
	}
	if faults.CrossedAnswers > 0 {
		w.Header().Set(core.HeaderRequestID, "another-"+attempt)
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	ctx, stop := context.WithCancel(context.Background())
	st := &stream{changed: make(chan struct{}), stop: stop, header: http.Header{}}
	st.header.Set("Content-Type", "application/json")
	if req.Stream {
		st.header.Set("Content-Type", "text/event-stream")
	}
	s.keepStream(attempt, st)
	go s.run(ctx, st, req, prompt, prefix)
	for k, v := range st.header {
		w.Header()[k] = v
	}
	s.serve(w, r, st, 0, faults, req.Stream)
}

// begin records a run and returns the faults that apply to it. It returns false if the
// model is not ready.
func (s *Server) begin(attempt, model, prompt, key string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready(model) {
		return Faults{}, false
	}
	s.runs = append(s.runs, Run{Attempt: attempt, Model: model, Prompt: prompt, Key: key})
	s.running[model]++
	f := s.faults
	if f.FaultyRequests <= 0 {
		f.CutAfter, f.StallAfter = 0, 0
	}
	s.faults.FaultyRequests = max(0, s.faults.FaultyRequests-1)
	s.faults.CrossedAnswers = max(0, s.faults.CrossedAnswers-1)
	s.faults.TruncatedAnswers = max(0, s.faults.TruncatedAnswers-1)
	return f, true
}

// keepStream keeps a stream for streamTTL so that it can be resumed.
func (s *Server) keepStream(attempt string, st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[attempt] = st
	time.AfterFunc(streamTTL, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, attempt)
	})
}

// run generates the tokens of an answer and writes them to the stream.
func (s *Server) run(ctx context.Context, st *stream, req chatRequest, prompt, prefix string) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running[req.Model]--
		s.evictIdle(req.Model)
	}()
	first := strings.Count(prefix, " ")
	var text strings.Builder
	for i := first; i < first+req.MaxTokens; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.cfg.TokenInterval):
		}
		t := token(req.Model, prompt, i)
		text.WriteString(t)
		if req.Stream {
			st.write(sse(chunk(req.Model, t, "")), false)
		}
	}
	if req.Stream {
		st.write(sse(chunk(req.Model, "", "stop")), false)
		st.write([]byte("data: [DONE]\n\n"), true)
		return
	}
	body, _ := json.Marshal(map[string]any{
		"object": "chat.completion", "model": req.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": message{Role: "assistant", Content: text.String()}}},
	})
	st.write(body, true)
}

func chunk(model, text, finish string) any {
	choice := map[string]any{"index": 0, "delta": map[string]string{"content": text}, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
		choice["delta"] = map[string]string{}
	}
	return map[string]any{"object": "chat.completion.chunk", "model": model, "choices": []any{choice}}
}

func sse(v any) []byte {
	data, _ := json.Marshal(v)
	return []byte("data: " + string(data) + "\n\n")
}

// serve copies the stream to one connection and injects the faults.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, st *stream, offset int, f Faults, sendHead bool) {
	flush := http.NewResponseController(w)
	if sendHead {
		_ = flush.Flush()
	}
	writes := 0
	for {
		data, done, changed := st.from(offset)
		if len(data) > 0 {
			if f.StallAfter > 0 && writes >= f.StallAfter {
				<-r.Context().Done()
				return
			}
			if f.CutAfter > 0 && writes >= f.CutAfter {
				panic(http.ErrAbortHandler)
			}
			if f.TruncatedAnswers > 0 && len(data) > 1 && done {
				_, _ = w.Write(data[:len(data)/2])
				return
			}
			if _, err := w.Write(data); err != nil {
				return
			}
			_ = flush.Flush()
			offset += len(data)
			writes++
		}
		if done {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	s.mu.Lock()
	st := s.streams[id]
	noResume := s.faults.NoResume
	s.mu.Unlock()
	w.Header().Set(core.HeaderRequestID, id)
	if st == nil || noResume || err != nil || offset < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.serve(w, r, st, offset, Faults{}, true)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := s.streams[chi.URLParam(r, "id")]
	s.mu.Unlock()
	if st == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	st.stop()
	w.WriteHeader(http.StatusNoContent)
}
