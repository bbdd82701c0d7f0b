package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// before is how long before a request's first line the lines on its
	// runners and on its daemon's beliefs are shown.
	before = 10 * time.Second
	// maxScan bounds a line of a file of logs.
	maxScan = 1 << 20
)

// Line is one line of a process's logs.
type Line struct {
	Time   time.Time
	Level  string
	Event  string
	Fields map[string]any
}

// beliefs are events that tell what a daemon knew when it decided.
var beliefs = []string{
	ConfigInForce, ConfigBehind, RunnerSeen, RunnerMissing, RunnerGone, StoreLost, StoreRegained, CopyTaken,
	RunnerEnded, RunnerLives, LeaseTaken, LeaseLost, LeaseYielded, OrderSent, OrderDone, AdapterYields, DaemonSilent, DaemonHeard, Started, Leaving, CutAtEnd, LinesLeftOut,
}

// reasons are events on why a request's digest was held back, or was not. They are shown
// whenever they were: a request may have been held back long before it came again.
var reasons = []string{EndCounted, RequestCleared, HoldChanged, TrialBegins, TrialRefused}

// Read reads lines of logs. What stands before the first brace of a line, such
// as a VM's name, is skipped; lines that are no logs are counted.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 0, 64<<10), maxScan)
	for scan.Scan() {
		l, ok := parse(scan.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := scan.Err(); err != nil {
		return nil, 0, eris.Wrap(err, "logs")
	}
	return lines, skipped, nil
}

func parse(b []byte) (Line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(b[at:], &fields) != nil {
		return Line{}, false
	}
	ts, _ := fields["ts"].(string)
	t, err := time.Parse("2006-01-02T15:04:05.000Z0700", ts)
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: t, Fields: fields}
	l.Level, _ = fields["level"].(string)
	l.Event, _ = fields["msg"].(string)
	for _, name := range []string{"ts", "level", "msg", "caller"} {
		delete(fields, name)
	}
	return l, true
}

func (l *Line) text(name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

// Follow returns the lines on a request of a caller, and what its daemon came to
// know of the runners involved and of its dependencies shortly before, in time
// order.
func Follow(lines []Line, request string) []Line {
	var first, last time.Time
	daemons, runners, models, digests := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if l.text("request") != request {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		daemons[l.text("daemon")] = true
		runners[l.text("runner")] = true
		models[l.text("model")] = true
		digests[l.text("digest")] = true
	}
	delete(runners, "")
	delete(models, "")
	delete(digests, "")
	var out []Line
	for _, l := range lines {
		decided := digests[l.text("digest")] && slices.Contains(reasons, l.Event)
		if l.text("request") == request || decided || !first.IsZero() && l.concerns(first, last, daemons, runners, models) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// concerns says whether a line tells what was known for a request between first
// and last: of its runners and models at any daemon, of the rest at its own.
func (l *Line) concerns(first, last time.Time, daemons, runners, models map[string]bool) bool {
	if l.Time.Before(first.Add(-before)) || l.Time.After(last.Add(time.Second)) || !slices.Contains(beliefs, l.Event) {
		return false
	}
	if r := l.text("runner"); r != "" {
		return runners[r] && (daemons[l.text("daemon")] || l.Event == OrderSent || l.Event == OrderDone) || models[l.text("model")]
	}
	return daemons[l.text("daemon")] || l.Event == LeaseTaken || l.Event == LeaseYielded
}

// Print writes lines for a person: time, daemon, event and fields.
func Print(out io.Writer, lines []Line) error {
	for i := range lines {
		l := &lines[i]
		var b strings.Builder
		fmt.Fprintf(&b, "%s %-5s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Level, l.text("daemon"), l.Event)
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if name != "daemon" {
				fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
			}
		}
		if _, err := fmt.Fprintln(out, b.String()); err != nil {
			return err
		}
	}
	return nil
}
