package crowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	wire "primroseward/platform"
)

// BenchmarkOrdinaryRequests measures a daemon's processor time for each request of clients that behave.
func BenchmarkOrdinaryRequests(b *testing.B) {
	const clients, requests = 8, 1500
	d := startFleet(b, usualMachine)
	for b.Loop() {
		before := processorTicks(d.cmd.Process.Pid)
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				c := &http.Client{Transport: &http.Transport{}}
				for n := range requests {
					req, err := http.NewRequest(http.MethodPost, "http://"+d.caller+"/ask/x", strings.NewReader(strings.Repeat("x", 200)))
					assert.Check(b, err)
					req.Host = "h.example"
					req.Header.Set(wire.HeaderRequestID, fmt.Sprint("calm", i, "-", n))
					req.Header.Set(wire.HeaderTimeout, "8000")
					resp, err := c.Do(req)
					if !assert.Check(b, err) {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		}
		wg.Wait()
		const microsecondsPerTick = 10_000
		b.ReportMetric(float64(processorTicks(d.cmd.Process.Pid)-before)*microsecondsPerTick/(clients*requests), "cpu-µs/request")
	}
}

// processorTicks returns the processor time of a process, in hundredths of a second.
func processorTicks(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, after, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(after)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}
