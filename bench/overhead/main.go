// Command overhead measures the latency and the processor time that the system adds to a
// request. In one run it sends the same short model request in turn directly to the engine,
// through the daemon that owns its runner (one hop) and through another daemon (two hops).
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"primroseward/bench/fleet"
	"primroseward/core"
	service "primroseward/services/tree"
	"primroseward/standin/engine"
	"primroseward/state/tree"
)

const (
	requests     = 3000
	workers      = 64
	loadDuration = 5 * time.Second
	oneGB        = 1000 * 1000 * 1000

	streams      = 100
	streamTokens = 200
	tokenGap     = 20 * time.Millisecond

	body = `{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * workers}}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	f, err := fleet.New("bin/primrosed", 2, []string{"a"})
	if err != nil {
		return err
	}
	defer f.Close()
	e := engine.New(engine.Config{Memory: 80 * oneGB, Slots: 256, Resident: []core.Resident{{Model: "m", Version: "1", Bytes: oneGB, Ready: true}}})
	addr, err := f.Serve(e)
	if err != nil {
		return err
	}
	slow := engine.New(engine.Config{Memory: 80 * oneGB, Slots: 256, TokenInterval: tokenGap, Resident: []core.Resident{{Model: "s", Version: "1", Bytes: oneGB, Ready: true}}})
	slowAddr, err := f.Serve(slow)
	if err != nil {
		return err
	}
	dataCentres := []string{"a"}
	concurrency := 100000
	err = f.Apply(&tree.Node{
		Set:   tree.Settings{DataCentres: &dataCentres, Concurrency: concurrency},
		Store: &tree.Store{Rate: 1, Slots: 1, Pause: true},
		Endpoints: map[string]tree.Endpoint{
			"e": {Addr: addr, DataCentre: "a", Kind: tree.KindModel, Memory: 80 * oneGB, Slots: 256},
			"s": {Addr: slowAddr, DataCentre: "a", Kind: tree.KindModel, Memory: 80 * oneGB, Slots: 256},
		},
		Children: map[string]*tree.Node{
			"model/m": {Model: &tree.Model{Version: "1", Memory: oneGB}},
			"model/s": {Model: &tree.Model{Version: "1", Memory: oneGB}},
		},
	})
	if err != nil {
		return err
	}
	near, far, err := waitForOwner(f, "e")
	if err != nil {
		return err
	}
	nearSlow, farSlow, err := waitForOwner(f, "s")
	if err != nil {
		return err
	}
	targets := []target{{"direct", addr}, {"1 hop", near.Caller}, {"2 hops", far.Caller}}
	if err := measureLatency(targets); err != nil {
		return err
	}
	if err := measureThroughput(f, []target{targets[1], targets[2]}); err != nil {
		return err
	}
	return measureStreaming(f, []target{{"direct", slowAddr}, {"1 hop", nearSlow.Caller}, {"2 hops", farSlow.Caller}})
}

// measureStreaming reads many streams at once over each path and measures the gaps between
// tokens and the daemons' processor time per token.
func measureStreaming(f *fleet.Fleet, targets []target) error {
	fmt.Printf("\n%d streams of %d tokens at once, a token each %s\n\n", streams, streamTokens, tokenGap)
	fmt.Println("| path | tokens/s | gap median ms | gap p95 ms | gap p99 ms | daemons' CPU per token, us |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, t := range targets {
		if _, err := readStream(t.addr); err != nil { // warm-up, not measured
			return err
		}
		before := daemonsCPU(f)
		began := time.Now()
		var mu sync.Mutex
		var gaps []time.Duration
		var wg sync.WaitGroup
		var failed atomic.Int64
		for range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				own, err := readStream(t.addr)
				if err != nil {
					failed.Add(1)
				}
				mu.Lock()
				defer mu.Unlock()
				gaps = append(gaps, own...)
			}()
		}
		wg.Wait()
		if failed.Load() > 0 {
			return fmt.Errorf("%s: %d streams failed", t.name, failed.Load())
		}
		slices.Sort(gaps)
		tokens := float64(len(gaps))
		fmt.Printf("| %s | %.0f | %.2f | %.2f | %.2f | %.1f |\n", t.name, tokens/time.Since(began).Seconds(),
			ms(gaps[len(gaps)/2]), ms(gaps[len(gaps)*95/100]), ms(gaps[len(gaps)*99/100]),
			float64((daemonsCPU(f)-before).Microseconds())/tokens)
	}
	return nil
}

// readStream reads one stream and returns the times between its tokens.
func readStream(addr string) ([]time.Duration, error) {
	text := fmt.Sprintf(`{"model":"s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, streamTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set(core.HeaderRequestID, uuid.NewString())
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	var gaps []time.Duration
	last := time.Now()
	for lines.Scan() {
		switch {
		case lines.Text() == "data: [DONE]":
			return gaps, nil
		case strings.Contains(lines.Text(), `"content"`):
			gaps = append(gaps, time.Since(last))
			last = time.Now()
		}
	}
	return gaps, io.ErrUnexpectedEOF
}

// target is a path to an engine: the address that requests are sent to.
type target struct{ name, addr string }

// waitForOwner waits until the runner is listed and both daemons serve requests for model m. It
// returns the daemon that owns the runner, and the other one.
func waitForOwner(f *fleet.Fleet, runner string) (near, far *fleet.Daemon, err error) {
	err = fleet.WaitUntil(func() bool {
		var runners []service.RunnerStatus
		if f.Daemons[0].Call(http.MethodGet, "/admin/runners", nil, &runners) != nil {
			return false
		}
		near, far = f.Daemons[0], f.Daemons[1]
		at := slices.IndexFunc(runners, func(r service.RunnerStatus) bool { return r.Runner == runner })
		if at < 0 {
			return false
		}
		if runners[at].Owner == far.Name {
			near, far = far, near
		}
		return sendRequest(near.Caller) == nil && sendRequest(far.Caller) == nil
	})
	return near, far, err
}

// sendRequest sends one request and returns an error unless the answer is 200.
func sendRequest(addr string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set(core.HeaderRequestID, "direct")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%d %s", resp.StatusCode, data)
	}
	return err
}

// measureLatency sends requests to the targets in turn, so that drift of the machine's speed
// affects all of them alike. The first 200 rounds are not counted.
func measureLatency(targets []target) error {
	times := make([][]time.Duration, len(targets))
	for i := range requests + 200 {
		for k, t := range targets {
			began := time.Now()
			if err := sendRequest(t.addr); err != nil {
				return fmt.Errorf("%s: %w", t.name, err)
			}
			if i >= 200 {
				times[k] = append(times[k], time.Since(began))
			}
		}
	}
	fmt.Println("| path | median ms | p99 ms | added at the median, ms | ratio of medians |")
	fmt.Println("|---|---|---|---|---|")
	var base time.Duration
	for k, t := range targets {
		slices.Sort(times[k])
		median, p99 := times[k][requests/2], times[k][requests*99/100]
		if k == 0 {
			base = median
		}
		fmt.Printf("| %s | %.3f | %.3f | %.3f | %.2f |\n", t.name, ms(median), ms(p99), ms(median-base), float64(median)/float64(base))
	}
	return nil
}

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureThroughput sends requests over each path from concurrent workers and prints the
// rate, and the requests per second of processor time of the daemons.
func measureThroughput(f *fleet.Fleet, targets []target) error {
	fmt.Println("\n| path | requests/s | requests/s per core of the daemons |")
	fmt.Println("|---|---|---|")
	for _, t := range targets {
		before := daemonsCPU(f)
		var n atomic.Int64
		var failed atomic.Int64
		var wg sync.WaitGroup
		stop := time.Now().Add(loadDuration)
		for range workers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(stop) {
					if sendRequest(t.addr) != nil {
						failed.Add(1)
						continue
					}
					n.Add(1)
				}
			}()
		}
		wg.Wait()
		used := daemonsCPU(f) - before
		if failed.Load() > 0 {
			fmt.Printf("%s: %d requests failed\n", t.name, failed.Load())
		}
		fmt.Printf("| %s | %.0f | %.0f |\n", t.name, float64(n.Load())/loadDuration.Seconds(), float64(n.Load())/used.Seconds())
	}
	return nil
}

// daemonsCPU returns the processor time that all daemons have used so far.
func daemonsCPU(f *fleet.Fleet) time.Duration {
	var sum time.Duration
	for _, d := range f.Daemons {
		if u, err := d.Usage(); err == nil {
			sum += u.CPU
		}
	}
	return sum
}
