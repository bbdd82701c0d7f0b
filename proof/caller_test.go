package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"primroseward/standin/engine"
)

// reply is the answer that a caller received.
type reply struct {
	status     int
	body       string
	outcome    string
	code       string
	retryAfter string
	dataCentre string
	runner     string
}

// errTruncated is returned for an answer that ended before it was complete.
var errTruncated = errors.New("truncated answer")

var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// callJSON sends in as JSON and decodes an answer with status 200 into out. It returns the
// status, or 0 if there is no answer or its body cannot be decoded.
func callJSON(client *http.Client, method, url string, in, out any) int {
	data, _ := json.Marshal(in)
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if out != nil && resp.StatusCode == http.StatusOK {
		if json.Unmarshal(body, out) != nil {
			return 0
		}
	}
	return resp.StatusCode
}

// send makes one request and never retries it. The body has no GetBody, so http.Client
// cannot send it a second time by itself either.
func (d *daemon) send(method, path, body string, header ...string) (reply, error) {
	req, err := http.NewRequest(method, "http://"+d.callerAddr+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return reply{}, err
	}
	req.ContentLength = int64(len(body))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{
		status:     resp.StatusCode,
		body:       string(data),
		outcome:    resp.Header.Get("Primrose-Outcome"),
		retryAfter: resp.Header.Get("Retry-After"),
		dataCentre: resp.Header.Get("Primrose-Place"),
		runner:     resp.Header.Get("Primrose-Runner"),
	}
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &e)
	r.code = e.Error.Code
	if err != nil {
		return r, errors.Join(errTruncated, err)
	}
	return r, nil
}

func chatBody(model, prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, prompt)
}

func (d *daemon) chat(model, prompt string, tokens int, stream bool, header ...string) (reply, error) {
	return d.send(http.MethodPost, "/v1/chat/completions", chatBody(model, prompt, tokens, stream), header...)
}

// answerText returns the text of an answer, streamed or not. A streamed answer without its
// end marker returns errTruncated.
func answerText(body string) (string, error) {
	if !strings.HasPrefix(body, "data:") {
		var full struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(body), &full); err != nil || len(full.Choices) != 1 {
			return "", fmt.Errorf("not a chat completion: %s", body)
		}
		return full.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return "", fmt.Errorf("not a chat completion chunk: %s", data)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String(), errTruncated
}

// checkAnswer returns an error unless a reply is the complete answer to a prompt and
// nothing else.
func checkAnswer(r reply, model, prompt string, tokens int) error {
	if r.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", r.status, r.body)
	}
	text, err := answerText(r.body)
	if err != nil {
		return err
	}
	if want := engine.ExpectedAnswer(model, engine.Prompt(prompt), tokens); text != want {
		return fmt.Errorf("got %q, want %q", text, want)
	}
	return nil
}

// chatWithRetries sends a chat request as callers should: under an id of their own, and at
// another entry when a connection breaks or a refusal says when to come back.
func (c *cluster) chatWithRetries(first int, model, prompt string, tokens int, stream bool) error {
	id := uuid.NewString()
	var lastErr error
	for try := range 40 {
		d := c.daemons[(first+try)%len(c.daemons)]
		r, err := d.chat(model, prompt, tokens, stream, "Primrose-Request-Id", id)
		if err == nil && r.status == http.StatusOK {
			return checkAnswer(r, model, prompt, tokens)
		}
		lastErr = fmt.Errorf("try %d at %s: %v, status %d, %s", try, d.name, err, r.status, r.body)
		time.Sleep(200 * time.Millisecond)
	}
	return lastErr
}

func checkErrors(t *testing.T, errs []error) {
	t.Helper()
	for i, err := range errs {
		if err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
}
