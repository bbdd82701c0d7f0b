package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case parts: 67 drafts a second as on the sheet, of which 0.03 have the part for 20 s, as in letter 7,
// no two alike. A crashed runner is back after 3 s, under a new id, and its entry goes after three heartbeats.
const (
	partRunners   = 12
	soundPerS     = 65
	partPerS      = 2
	partUsualTime = 12 * time.Second
	partTime      = 20 * time.Second
	partBack      = 3 * time.Second
	stableWindow  = 3 * time.Second
	crashesToHold = 5
	maxAfter      = 3
	firstPart     = "5c1e07a2"
	suspectPart   = "91bd3f06"
	otherPart     = "77ac01e9"
)

func init() { cases["parts"] = playParts }

// crashes holds what happened under the suspect part.
type crashes struct {
	mu    sync.Mutex
	at    []time.Time
	after int                  // arrivals of those that were sent stableWindow after the fifth crash
	sent  map[string]time.Time // requests with the part
}

// note takes a line of a runner into account.
func (c *crashes) note(_ *server, text string) {
	fields := strings.Fields(text)
	id := fields[len(fields)-1]
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case strings.Contains(text, " crashes "):
		c.at = append(c.at, time.Now())
	case strings.Contains(text, " runs ") && strings.Contains(text, suspectPart):
		if len(c.at) >= crashesToHold && c.sent[id].After(c.at[crashesToHold-1].Add(stableWindow)) {
			c.after++
		}
	}
}

// startPartRunner starts a runner, and another one after each crash.
func (w *world) startPartRunner(number, life int, fatal string) error {
	id := fmt.Sprintf("i-lm-%d-%d", number, life)
	args := []string{"-models", "m0", "-events", "8", "-interval", "30ms"}
	if fatal != "" {
		args = append(args, "-fatal", fatal)
	}
	s, err := w.startServer(id, engines, zones[number%len(zones)], args...)
	if err != nil {
		return err
	}
	go func() {
		_, _ = s.cmd.Process.Wait()
		time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", id) })
		time.Sleep(partBack)
		_ = w.startPartRunner(number, life+1, suspectPart) // fails at the end of the case
	}()
	return nil
}

// playParts has a part of prompts, which has been in use before, crash each runner that begins to answer on it.
func playParts(w *world) error {
	seen := &crashes{sent: map[string]time.Time{}}
	w.line = seen.note
	w.putConfig(0)
	for i := range partRunners {
		if err := w.startPartRunner(i, 1, ""); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if err := w.startDaemons(4); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	began, fatal := time.Now(), false
	var mu sync.Mutex
	counts := map[string]int{}
	for i := 0; time.Since(began) < partUsualTime+partTime; i++ {
		if w.trouble && !fatal && time.Since(began) > partUsualTime {
			fatal = true
			w.record("case", "part "+suspectPart+" crashes runners from now on")
			for _, s := range w.servers {
				go call(http.MethodPost, fmt.Sprintf("http://%s/_fatal?part=%s", s.addr, suspectPart), nil)
			}
		}
		part, phase := otherPart, "before"
		if i%((soundPerS+partPerS)/partPerS) == 0 {
			part = suspectPart
		}
		if fatal {
			phase = "since"
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := w.newID()
			if part == suspectPart {
				seen.mu.Lock()
				seen.sent[id] = time.Now()
				seen.mu.Unlock()
			}
			a := w.send(w.daemons[i%len(w.daemons)], id, draftPath+"2f", "m0", 4*time.Second, strings.NewReader("draft "+id), firstPart+":103", part+":68", id+":300")
			last, _ := lastEvent(a.body)
			kind := "sound"
			if part == suspectPart {
				kind = "with the part"
			}
			w.record("client", fmt.Sprintf("gets %s %s status=%d last=%d whole=%t", id, kind, a.status, last, a.err == nil && last == 8))
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%s, %s, whole=%t", kind, phase, a.err == nil && last == 8)]++
		}()
		time.Sleep(time.Second / (soundPerS + partPerS))
	}
	clients.Wait()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	w.record("case", fmt.Sprintf("%d runners crashed; %d requests with the part reached runners that were sent %s after the fifth crash or later; %v", len(seen.at), seen.after, stableWindow, counts))
	if seen.after > maxAfter {
		return fmt.Errorf("%w: BUDGET: requests with a part under which five runners had crashed reached runners %d times more, %d crashed in all", errBroken, seen.after, len(seen.at))
	}
	return nil
}
