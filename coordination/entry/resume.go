package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
)

// pathChat is the only path whose streams are continued on another runner: its
// messages can contain the partial text of the answer.
const pathChat = "/v1/chat/completions"

// chunk holds the fields of a chunk in OpenAI's format that are needed to continue
// a stream.
type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string          `json:"content"`
			Tools   json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// delivered describes the part of a stream that the caller has received.
type delivered struct {
	text        string
	tokens      int  // events with text; engines send one token per event
	finished    bool // whether the finish reason was delivered
	continuable bool // whether it is the text of a single choice, without tool calls
}

// delivered parses what was forwarded to the caller. It runs only after a failure,
// so that streams without failures are not parsed at all.
func (r *relay) delivered() delivered {
	data, _, err := r.out.Next(context.Background(), 0)
	if err != nil {
		return delivered{}
	}
	d := delivered{continuable: true}
	var text strings.Builder
	for _, raw := range bytes.Split(data, eventSeparator) {
		e, ok := parseChunk(raw)
		if !ok {
			continue
		}
		for _, c := range e.Choices {
			if c.Index != 0 || len(c.Delta.Tools) > 0 {
				d.continuable = false
			}
			if c.Delta.Content != "" {
				text.WriteString(c.Delta.Content)
				d.tokens++
			}
			d.finished = d.finished || c.Finish != nil
		}
	}
	d.text = text.String()
	return d
}

func parseChunk(raw []byte) (chunk, bool) {
	var e chunk
	data, ok := bytes.CutPrefix(bytes.TrimSpace(raw), []byte("data: "))
	if !ok || json.Unmarshal(data, &e) != nil {
		return e, false
	}
	return e, true
}

// continuation returns the body of a request that continues after the delivered
// text, for engines that support continue_final_message. The token limits are
// reduced by the tokens delivered.
func (d delivered) continuation(body []byte) []byte {
	var req map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &req) != nil || json.Unmarshal(req["messages"], &messages) != nil {
		return body
	}
	partial, err := json.Marshal(map[string]string{"role": "assistant", "content": d.text})
	if err != nil {
		return body
	}
	req["messages"], _ = json.Marshal(append(messages, partial))
	req["continue_final_message"] = json.RawMessage("true")
	req["add_generation_prompt"] = json.RawMessage("false")
	for _, field := range tokenLimitFields {
		if limit := tokenLimit(req, field); limit > 0 {
			req[field], _ = json.Marshal(max(1, limit-d.tokens))
		}
	}
	out, err := json.Marshal(req)
	if err != nil {
		return body
	}
	return out
}

// tokenLimitFields are the fields that limit the number of tokens of an answer.
var tokenLimitFields = []string{"max_tokens", "max_completion_tokens"}

func tokenLimit(req map[string]json.RawMessage, field string) int {
	var limit int
	if json.Unmarshal(req[field], &limit) != nil {
		return 0
	}
	return limit
}

// limitReached reports whether the caller has received as many tokens as the
// request allows. It assumes one token per event. For an engine that puts several
// tokens into one event the count is too low, and a continued answer may exceed
// the limit by the tokens not counted.
func (d delivered) limitReached(body []byte) bool {
	var req map[string]json.RawMessage
	if json.Unmarshal(body, &req) != nil {
		return false
	}
	for _, field := range tokenLimitFields {
		if limit := tokenLimit(req, field); limit > 0 && d.tokens >= limit {
			return true
		}
	}
	return false
}

// dropEmptyEvents removes events with neither text nor a finish reason nor tool
// calls. A continued stream begins with such an event, which the caller has
// received from the first attempt.
func dropEmptyEvents(events []byte) []byte {
	var out []byte
	for _, raw := range bytes.SplitAfter(events, eventSeparator) {
		e, ok := parseChunk(raw)
		empty := ok && len(e.Choices) > 0
		for _, c := range e.Choices {
			if c.Delta.Content != "" || c.Finish != nil || len(c.Delta.Tools) > 0 {
				empty = false
			}
		}
		if !empty {
			out = append(out, raw...)
		}
	}
	return out
}

// completeStream ends a stream whose text is complete but whose end was lost: the
// finish reason was delivered, or as many tokens as the request allows. A further
// attempt would add a token too many. It reports whether the stream is complete.
func (r *relay) completeStream(ctx context.Context) bool {
	if !r.forwarded || !r.eventStream {
		return false
	}
	d := r.delivered()
	ending := doneEvent
	if !d.finished {
		if !d.continuable || !d.limitReached(r.request.Body) {
			return false
		}
		ending = finishEvent(r.request.Model) + doneEvent
	}
	return r.out.Append(ctx, []byte(ending)) == nil
}

const doneEvent = "data: [DONE]\n\n"

// finishEvent returns the event that ends an answer at its token limit.
func finishEvent(model string) string {
	data, _ := json.Marshal(map[string]any{
		"object":  "chat.completion.chunk",
		"model":   model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "length"}},
	})
	return "data: " + string(data) + "\n\n"
}
