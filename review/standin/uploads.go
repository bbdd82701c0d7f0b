package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case uploads, those of mtkvari-reg for one of its 8 machines: 284 MB of memory, bodies of at most 4 MiB,
// and 69.4 drafts a second over all machines. The largest burst there has 2.9 times as many, for 3 s. At this rate bodies
// of 4 MiB take 106 MB a second of the machine's link of 125 MB a second.
const (
	memoryMiB      = 284
	bodyBytes      = 4 << 20
	draftsPerS     = 69.4 / 8
	burstFactor    = 2.9
	burstTime      = 3 * time.Second
	burstPause     = 8 * time.Second
	bursts         = 4
	uploadMachines = 4
	// restartPause is the short delay after which an ended process is started again.
	restartPause = 500 * time.Millisecond
	memoryPoll   = 5 * time.Millisecond
	// A day fails if processes of a tenth of the machines, two at least, end by themselves three times.
	maxEnds     = 3
	maxMachines = 2
)

func init() { cases["uploads"] = playUploads }

// uploads counts what the clients of the case got.
type uploads struct {
	mu                 sync.Mutex
	whole, lost, other int
}

// playUploads has many users come at once, whose requests have bodies of the size that the configuration allows. A
// daemon that takes more memory than its machine has is killed and started again, as the platform does.
func playUploads(w *world) error {
	w.putConfig(0)
	for i := range 2 * uploadMachines {
		if _, err := w.startServer(fmt.Sprintf("i-lm-%d", i+1), engines, zones[i%len(zones)], "-models", "m0", "-events", "47", "-interval", "31ms"); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if err := w.startDaemons(uploadMachines); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	ends := make([]int, len(w.daemons))
	var watches sync.WaitGroup
	for i, d := range w.daemons {
		watches.Add(1)
		go func() {
			defer watches.Done()
			ends[i] = w.holdToMemory(d, done)
		}()
	}
	factor := 1.0
	if w.trouble {
		factor = burstFactor
	}
	got := &uploads{}
	for i := range bursts {
		w.record("case", fmt.Sprintf("burst %d, %.1f drafts a second at each machine", i+1, draftsPerS*factor))
		w.sendUploads(factor, got)
		time.Sleep(burstPause)
	}
	close(done)
	watches.Wait()
	machines, most := 0, 0
	for _, n := range ends {
		most = max(most, n)
		if n >= maxEnds {
			machines++
		}
	}
	w.record("case", fmt.Sprintf("ends by machine: %v; requests: %d whole, %d lost, %d others", ends, got.whole, got.lost, got.other))
	if machines >= maxMachines {
		return fmt.Errorf("%w: Fault: on %d of %d machines the process took more than %d MiB %d times or more; %d of %d requests lost",
			errBroken, machines, len(w.daemons), memoryMiB, maxEnds, got.lost, got.whole+got.lost+got.other)
	}
	if got.whole == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}

// sendUploads sends drafts at each machine for the time of a burst, and waits for the answers.
func (w *world) sendUploads(factor float64, got *uploads) {
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var clients sync.WaitGroup
	gap := time.Duration(float64(time.Second) / (draftsPerS * factor))
	for began := time.Now(); time.Since(began) < burstTime; time.Sleep(gap) {
		for _, d := range w.daemons {
			clients.Add(1)
			go func() {
				defer clients.Done()
				id := w.newID()
				a := w.send(d, id, draftPath+"2f", "m0", 12*time.Second, bytes.NewReader(body))
				w.record("client", fmt.Sprintf("gets %s status=%d whole=%t", id, a.status, a.err == nil))
				got.mu.Lock()
				defer got.mu.Unlock()
				switch {
				case a.err != nil:
					got.lost++
				case a.status == http.StatusOK:
					got.whole++
				default:
					got.other++
				}
			}()
		}
	}
	clients.Wait()
}

// holdToMemory kills a daemon whenever its resident memory exceeds that of its machine, and starts it again. It returns
// how often it did.
func (w *world) holdToMemory(d *daemon, done <-chan struct{}) int {
	peak, ends := 0, 0
	for {
		select {
		case <-done:
			w.record(d.name, fmt.Sprintf("took %d MiB at most, ended %d times", peak, ends))
			return ends
		case <-time.After(memoryPoll):
		}
		now := d.residentMiB()
		peak = max(peak, now)
		if now <= memoryMiB {
			continue
		}
		ends++
		w.record(d.name, fmt.Sprintf("takes %d MiB and is killed", now))
		kill(d.cmd)
		time.Sleep(restartPause)
		if err := w.startDaemon(d); err != nil {
			w.record(d.name, err.Error())
			return ends
		}
	}
}

// residentMiB returns the resident memory of a daemon's process, 0 if it is not known.
func (d *daemon) residentMiB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(v), " kB"))
			return kib >> 10
		}
	}
	return 0
}
