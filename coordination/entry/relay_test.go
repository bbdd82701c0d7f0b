package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"primroseward/state/answer"
	"primroseward/state/directory"
)

func sse(text, finish string) string {
	choice := map[string]any{"index": 0, "delta": map[string]string{"content": text}, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	data, _ := json.Marshal(map[string]any{"choices": []any{choice}})
	return "data: " + string(data) + "\n\n"
}

func eventHead() answer.Head {
	return answer.Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}}
}

// A caller sees half an event and then the same words again: an attempt breaks
// inside an event and another runner goes on. Whatever the portions in which
// the first attempt's bytes came, and wherever they end, the caller must have
// whole events only, and the next request must continue exactly their text.
func FuzzContinue(f *testing.F) {
	f.Add(uint16(10), uint8(3))
	f.Add(uint16(200), uint8(1))
	f.Add(uint16(999), uint8(50))
	f.Fuzz(func(t *testing.T, cut uint16, portion uint8) {
		var stream string
		for i := range 8 {
			stream += sse(fmt.Sprintf("w%d ", i), "")
		}
		first := stream[:int(cut)%(len(stream)+1)]
		ctx := context.Background()
		out := answer.NewBuffer()
		body := `{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"x"}]}`
		r := newRelay(&Ask{Model: "m", Path: pathChat, Body: []byte(body), Repeat: true}, out)
		r.begin(directory.Report{Runner: "r1"})
		r.SetHead(eventHead())
		step := int(portion)%97 + 1
		for i := 0; i < len(first); i += step {
			assert.NilError(t, r.Append(ctx, []byte(first[i:min(len(first), i+step)])))
		}
		whole := strings.Count(first, "\n\n")
		assert.Assert(t, r.canContinue())
		var req struct {
			Max      int `json:"max_tokens"`
			Messages []struct {
				Content string `json:"content"`
			} `json:"messages"`
		}
		assert.NilError(t, json.Unmarshal(r.body(), &req))
		var text string
		if len(req.Messages) == 2 {
			text = req.Messages[1].Content
		}
		assert.Equal(t, strings.Count(text, " "), whole)
		if whole > 0 {
			assert.Equal(t, req.Max, max(1, 8-whole))
		}
		r.begin(directory.Report{Runner: "r2"})
		r.SetHead(eventHead())
		rest := sse("", "")
		for i := whole; i < 8; i++ {
			rest += sse(fmt.Sprintf("w%d ", i), "")
		}
		assert.NilError(t, r.Append(ctx, []byte(rest)))
		assert.NilError(t, r.end(ctx))
		out.Finish()
		got, _, err := out.Next(ctx, 0)
		assert.NilError(t, err)
		if whole > 0 {
			assert.Equal(t, string(got), stream)
		} else {
			assert.Assert(t, strings.HasSuffix(string(got), stream))
		}
	})
}

func TestRelayKeepsBackWhatMayBeReplaced(t *testing.T) {
	cases := []struct {
		name, kind, body string
		status           int
		whole            bool
	}{
		{"whole JSON", "application/json", `{"a":1}`, 200, true},
		{"half JSON", "application/json", `{"a":`, 200, false},
		{"engine turns it down", "application/json", `{}`, 503, false},
		{"caller's own fault", "application/json", `{}`, 400, true},
		{"text", "text/plain", "x", 200, true},
	}
	for _, one := range cases {
		ctx := context.Background()
		out := answer.NewBuffer()
		r := newRelay(&Ask{Model: "m", Path: pathChat, Repeat: true}, out)
		r.begin(directory.Report{})
		r.SetHead(answer.Head{Status: one.status, Header: http.Header{"Content-Type": {one.kind}}})
		assert.NilError(t, r.Append(ctx, []byte(one.body)))
		assert.Equal(t, out.Len(), int64(0), "kept back")
		assert.Equal(t, r.end(ctx) == nil, one.whole, one.name)
	}
}

// A caller gets a word more than it asked for, or a second end. The attempt
// breaks after the last token, before or after the finish reason: there is
// nothing to continue, and the stream is ended here.
func TestNothingIsContinuedAfterTheLastToken(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		whole  bool
	}{
		{"one token is missing", sse("a ", ""), false},
		{"all tokens, no finish reason", sse("a ", "") + sse("b ", ""), true},
		{"finish reason, no end marker", sse("a ", "") + sse("b ", "") + sse("", "stop"), true},
	}
	for _, one := range cases {
		ctx := context.Background()
		out := answer.NewBuffer()
		r := newRelay(&Ask{Model: "m", Path: pathChat, Repeat: true, Body: []byte(`{"max_tokens":2,"messages":[]}`)}, out)
		r.begin(directory.Report{})
		r.SetHead(eventHead())
		assert.NilError(t, r.Append(ctx, []byte(one.stream)))
		assert.Equal(t, r.complete(ctx), one.whole, one.name)
		if !one.whole {
			continue
		}
		out.Finish()
		got, _, err := out.Next(ctx, 0)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(got), "finish_reason\":\""), 1, one.name)
		assert.Assert(t, strings.HasSuffix(string(got), doneEvent), one.name)
	}
}
