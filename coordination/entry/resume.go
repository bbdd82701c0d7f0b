package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
)

// pathChat is the only call whose streams are continued on another runner:
// its messages can carry the text begun.
const pathChat = "/v1/chat/completions"

// event is what continuing needs of a chunk in OpenAI's form.
type event struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string          `json:"content"`
			Tools   json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// delivered is what a caller has of a stream.
type delivered struct {
	text     string
	tokens   int  // events with text; engines send one token in each
	finished bool // the finish reason has been delivered
	plain    bool // it is the text of one choice, which can be continued
}

// delivered reads back what was passed on. It is only read after a failure,
// so that a stream costs nothing to watch.
func (r *relay) delivered() delivered {
	data, _, err := r.out.Next(context.Background(), 0)
	if err != nil {
		return delivered{}
	}
	d := delivered{plain: true}
	var text strings.Builder
	for _, raw := range bytes.Split(data, eventEnd) {
		e, ok := parseEvent(raw)
		if !ok {
			continue
		}
		for _, c := range e.Choices {
			if c.Index != 0 || len(c.Delta.Tools) > 0 {
				d.plain = false
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

func parseEvent(raw []byte) (event, bool) {
	var e event
	data, ok := bytes.CutPrefix(bytes.TrimSpace(raw), []byte("data: "))
	if !ok || json.Unmarshal(data, &e) != nil {
		return e, false
	}
	return e, true
}

// continued makes a request that goes on after the delivered text, as engines
// with continue_final_message understand it.
func (d delivered) continued(body []byte) []byte {
	var req map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &req) != nil || json.Unmarshal(req["messages"], &messages) != nil {
		return body
	}
	begun, err := json.Marshal(map[string]string{"role": "assistant", "content": d.text})
	if err != nil {
		return body
	}
	req["messages"], _ = json.Marshal(append(messages, begun))
	req["continue_final_message"] = json.RawMessage("true")
	req["add_generation_prompt"] = json.RawMessage("false")
	for _, field := range limitFields {
		if limit := limitOf(req, field); limit > 0 {
			req[field], _ = json.Marshal(max(1, limit-d.tokens))
		}
	}
	out, err := json.Marshal(req)
	if err != nil {
		return body
	}
	return out
}

// limitFields name the most tokens that a caller wants.
var limitFields = []string{"max_tokens", "max_completion_tokens"}

func limitOf(req map[string]json.RawMessage, field string) int {
	var limit int
	if json.Unmarshal(req[field], &limit) != nil {
		return 0
	}
	return limit
}

// usedUp says whether the caller has all the tokens that it asked for. An
// engine sends one token an event; one that joins several is seen to have sent
// fewer, and a continued answer may then be longer by those.
func (d delivered) usedUp(body []byte) bool {
	var req map[string]json.RawMessage
	if json.Unmarshal(body, &req) != nil {
		return false
	}
	for _, field := range limitFields {
		if limit := limitOf(req, field); limit > 0 && d.tokens >= limit {
			return true
		}
	}
	return false
}

// dropEmpty removes events that carry neither text nor an end. A continued
// stream begins with such an event, which the caller has had already.
func dropEmpty(events []byte) []byte {
	var out []byte
	for _, raw := range bytes.SplitAfter(events, eventEnd) {
		e, ok := parseEvent(raw)
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

// complete ends a stream whose text was delivered whole and whose end was lost:
// the finish reason came, or all tokens that the caller wants. Another attempt
// would add a token too many. It says whether the stream is whole now.
func (r *relay) complete(ctx context.Context) bool {
	if !r.passed || !r.events {
		return false
	}
	d := r.delivered()
	end := doneEvent
	if !d.finished {
		if !d.plain || !d.usedUp(r.ask.Body) {
			return false
		}
		end = finishEvent(r.ask.Model) + doneEvent
	}
	return r.out.Append(ctx, []byte(end)) == nil
}

const doneEvent = "data: [DONE]\n\n"

// finishEvent is the chunk that ends an answer for its length.
func finishEvent(model string) string {
	data, _ := json.Marshal(map[string]any{
		"object":  "chat.completion.chunk",
		"model":   model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "length"}},
	})
	return "data: " + string(data) + "\n\n"
}
