package logs

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lossLines are logs of two daemons: a stream in time, one whose first event is late at
// a full runner, one with a long pause, one that is truncated after the line with the
// cause, one that is refused, a plain answer in time, a late one and a runner's failure.
// The last request has not ended.
const lossLines = `
0.01 vm-1 {"level":"info","ts":"2026-04-11T16:05:39.008Z","msg":"runner chosen","request":"a","route":"chat","model":"m","requests":4,"slots":8}
0.01 vm-2 {"level":"info","ts":"2026-04-11T16:05:39.008Z","msg":"runner chosen","request":"b","route":"chat","model":"m","requests":9,"slots":8}
{"level":"info","ts":"2026-04-11T16:05:39.500Z","msg":"stream ended","request":"a","route":"chat","first":0.1,"target":0.4,"gap":0.1,"maxgap":0.15,"whole":true}
{"level":"info","ts":"2026-04-11T16:05:41.600Z","msg":"stream ended","request":"b","route":"chat","first":0.5,"target":0.4,"gap":0.1,"maxgap":0.15,"whole":true}
{"level":"info","ts":"2026-04-11T16:05:41.700Z","msg":"stream ended","request":"c","route":"chat","first":0.1,"target":0.4,"gap":0.2,"maxgap":0.15,"whole":true}
{"level":"warn","ts":"2026-04-11T16:05:41.800Z","msg":"answer lost","request":"d","route":"chat"}
{"level":"info","ts":"2026-04-11T16:05:41.801Z","msg":"stream ended","request":"d","route":"chat","first":0.1,"target":0.4,"gap":0.1,"maxgap":0.15,"whole":false}
{"level":"warn","ts":"2026-04-11T16:05:41.900Z","msg":"refused","request":"e","route":"chat","code":"full"}
{"level":"info","ts":"2026-04-11T16:05:41.901Z","msg":"answer ended","request":"f","route":"ask","status":200,"took":0.05,"target":0.1}
{"level":"info","ts":"2026-04-11T16:05:41.902Z","msg":"answer ended","request":"g","route":"ask","status":200,"took":0.15,"target":0.1}
{"level":"info","ts":"2026-04-11T16:05:41.903Z","msg":"answer ended","request":"h","route":"ask","status":500,"took":0.05,"target":0.1}
{"level":"info","ts":"2026-04-11T16:05:41.904Z","msg":"runner chosen","request":"i","route":"ask","requests":1,"slots":8}
`

// Checks the tables that show, after complaints of callers, which requests were late,
// refused or lost, and whether their runners were full.
func TestCountLosses(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(lossLines))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	got := CountLosses(lines)
	second := time.Second
	assert.DeepEqual(t, got.Routes, []Row{
		{"ask", Tally{Requests: 3, InTime: 1, Late: 1, Failed: 1, First: second / 4}},
		{"chat", Tally{Requests: 5, InTime: 1, Late: 1, Paused: 1, Refused: 1, Failed: 1, First: 7 * second / 10}},
	})
	assert.DeepEqual(t, got.Loads, []Row{
		{" 50% to 62%", Tally{Requests: 1, InTime: 1, First: second / 10}},
		{"100% and more", Tally{Requests: 1, Late: 1, First: second / 2}},
	})
	assert.DeepEqual(t, got.Refusals, []Row{{"full", Tally{Requests: 1, Refused: 1}}})
	assert.Equal(t, len(got.Times), 2)
	assert.Equal(t, got.Times[0].Tally, Tally{Requests: 1, InTime: 1, First: second / 10})
	var out strings.Builder
	assert.NilError(t, got.Print(&out))
	assert.Assert(t, strings.Contains(out.String(), "100% and more         1     0.0%  100.0%"), out.String())
}

// Guards against answers cut that show only as failed requests, without what cut them, and against a cut that
// is counted at the daemon that helped, too.
func TestCountCuts(t *testing.T) {
	lines, _, err := Read(strings.NewReader(`
{"level":"warn","ts":"2026-04-11T16:05:41.800Z","msg":"answer cut","request":"a","forwarded":false,"cause":"answer_lost"}
{"level":"warn","ts":"2026-04-11T16:05:41.800Z","msg":"answer cut","request":"a","forwarded":true,"cause":"answer_lost"}
{"level":"warn","ts":"2026-04-11T16:05:41.900Z","msg":"answer cut","request":"b","cause":"answer_lost"}
{"level":"warn","ts":"2026-04-11T16:05:42.000Z","msg":"answer cut","request":"c","cause":"full"}
{"level":"info","ts":"2026-04-11T16:05:42.000Z","msg":"caller disconnected","request":"d","forwarded":false}
{"level":"error","ts":"2026-04-11T16:05:42.100Z","msg":"handler panicked","request":"e","cut":true,"cause":"a defect"}
{"level":"error","ts":"2026-04-11T16:05:42.100Z","msg":"handler panicked","request":"f","cut":false,"cause":"a defect"}
`))
	assert.NilError(t, err)
	got := CountLosses(lines)
	assert.DeepEqual(t, got.Cuts, []Row{
		{"answer_lost", Tally{Requests: 2, Failed: 2}},
		{CauseCallerGone, Tally{Requests: 1, Failed: 1}},
		{"full", Tally{Requests: 1, Failed: 1}},
		{"panic", Tally{Requests: 1, Failed: 1}},
	})
	var out strings.Builder
	assert.NilError(t, got.Print(&out))
	assert.Assert(t, strings.Contains(out.String(), "answer cut"), out.String())
}
