package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the cases spot and crash. A stream of 100 events each 50 ms is within the 159 pieces and the pause of 150 ms
// of the sheet. The notice is that of mtkvari-reg for scale_in with how = "spot": 2 s. A crash takes a quarter of the 12
// runners, which have 30 streams each then: they have 32 slots.
const (
	streamEvents  = 100
	spotRunners   = 6
	spotStreams   = 48
	spotGap       = 20 * time.Millisecond
	spotNotice    = 2 * time.Second
	crashRunners  = 12
	crashStreams  = 360
	crashGap      = 4 * time.Millisecond
	crashedAtOnce = 3
	crashAfter    = time.Second
)

func init() {
	cases["spot"] = playSpot
	cases["crash"] = playCrash
}

// playSpot takes a runner away at short notice while streams run there whose answers end with their
// connection.
func playSpot(w *world) error {
	return w.playStreams(spotRunners, spotStreams, spotGap, func() error {
		gone := w.servers[0]
		url := fmt.Sprintf("http://%s/_drain?remaining_ms=%d", gone.addr, spotNotice.Milliseconds())
		if call(http.MethodPost, url, nil) != http.StatusOK {
			return fmt.Errorf("%s took no notice", gone.id)
		}
		time.Sleep(spotNotice)
		w.record("case", gone.id+" is gone")
		kill(gone.cmd)
		return nil
	})
}

// playCrash lets runners crash while such streams run there.
func playCrash(w *world) error {
	return w.playStreams(crashRunners, crashStreams, crashGap, func() error {
		time.Sleep(crashAfter)
		for _, s := range w.servers[:crashedAtOnce] {
			w.record("case", s.id+" crashes")
			_ = s.cmd.Process.Kill()
		}
		return nil
	})
}

// playStreams has streams served, and fails if one of them looks complete and is not.
func (w *world) playStreams(runners, streams int, gap time.Duration, disrupt func() error) error {
	w.putConfig(0)
	for i := range runners {
		if _, err := w.startServer(fmt.Sprintf("i-lm-%d", i+1), engines, zones[i%len(zones)], "-models", "m0", "-events", fmt.Sprint(streamEvents), "-unframed"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if err := w.startDaemons(len(zones)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	short, whole, cut, other := 0, 0, 0, 0
	for i := range streams {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := w.newID()
			got := w.send(w.daemons[i%len(w.daemons)], id, draftPath+"2f", "m0", 12*time.Second, strings.NewReader("a draft"))
			last, inOrder := lastEvent(got.body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.status != http.StatusOK:
				other++
			case got.err != nil:
				cut++
			case last == streamEvents && inOrder:
				whole++
			default:
				short++
			}
			w.record("client", fmt.Sprintf("gets %s status=%d last=%d of %d inorder=%t looks complete=%t stamp=%s", id, got.status, last, streamEvents, inOrder, got.err == nil, got.stamp))
		}()
		time.Sleep(gap)
	}
	if w.trouble {
		if err := disrupt(); err != nil {
			return err
		}
	}
	clients.Wait()
	w.record("case", fmt.Sprintf("streams: %d whole, %d cut, %d short that looked complete, %d others", whole, cut, short, other))
	if short > 0 {
		return fmt.Errorf("%w: ORDER: %d of %d streams ended as complete before their last piece", errBroken, short, streams)
	}
	if whole == 0 {
		return fmt.Errorf("no stream was served whole: %d cut, %d others", cut, other)
	}
	return nil
}
