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
	// lookBack is how far back from a request's first line the lines on its
	// runners and on its daemon's state are shown.
	lookBack = 10 * time.Second
	// maxLineBytes bounds a line of a log file, in bytes.
	maxLineBytes = 1 << 20
)

// Line is one line of a process's log.
type Line struct {
	Time   time.Time
	Level  string
	Event  string
	Fields map[string]any
}

// stateEvents lists the events that show on which state a daemon based its decisions.
var stateEvents = []string{
	ConfigInForce, ConfigMissed, RunnerChanged, RunnerMissing, RunnerGone, StoreLost, StoreRegained, SnapshotUsed,
	RunnerExited, RunnerStillRunning, LeaseAcquired, LeaseLost, LeaseYielded, OrderSent, OrderDone, AdapterDisplaced, DaemonUnreachable, DaemonReachable, Started, Leaving, RequestsCancelled, LinesDropped,
}

// holdEvents lists the events that show why a request's digest was on hold, or was not. They
// are shown regardless of their time: the hold may have begun long before the request was
// sent again.
var holdEvents = []string{ExitCounted, RequestCleared, HoldDeferred, PartDecided, HoldChanged, TrialStarted, TrialRefused}

// Read reads log lines. Text before the first brace of a line, such as a VM's
// name, is ignored. skipped is the number of lines that are not log lines.
func Read(in io.Reader) (lines []Line, skipped int, err error) {
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

func (l *Line) textField(name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

// Follow returns the lines on a caller's request, and the lines on the state of the
// runners involved and of its daemon's dependencies from shortly before until its
// end, in order of time.
func Follow(lines []Line, request string) []Line {
	var first, last time.Time
	daemons, runners, models, digests := map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if l.textField("request") != request {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		daemons[l.textField("daemon")] = true
		runners[l.textField("runner")] = true
		models[l.textField("model")] = true
		digests[l.textField("digest")] = true
		digests[l.textField("held")] = true
	}
	delete(runners, "")
	delete(models, "")
	delete(digests, "")
	var out []Line
	for _, l := range lines {
		explainsHold := digests[l.textField("digest")] && slices.Contains(holdEvents, l.Event)
		if l.textField("request") == request || explainsHold || !first.IsZero() && l.isContextOf(first, last, daemons, runners, models) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// isContextOf reports whether a line shows state on which decisions on a request between
// first and last were based: at the request's daemons or, for its models, orders and
// lease changes, at any daemon.
func (l *Line) isContextOf(first, last time.Time, daemons, runners, models map[string]bool) bool {
	if l.Time.Before(first.Add(-lookBack)) || l.Time.After(last.Add(time.Second)) || !slices.Contains(stateEvents, l.Event) {
		return false
	}
	if r := l.textField("runner"); r != "" {
		return runners[r] && (daemons[l.textField("daemon")] || l.Event == OrderSent || l.Event == OrderDone) || models[l.textField("model")]
	}
	return daemons[l.textField("daemon")] || l.Event == LeaseAcquired || l.Event == LeaseYielded
}

// Print writes lines in a readable form: time, level, daemon, event and fields.
func Print(out io.Writer, lines []Line) error {
	for i := range lines {
		l := &lines[i]
		var b strings.Builder
		fmt.Fprintf(&b, "%s %-5s %s: %s", l.Time.UTC().Format("15:04:05.000"), l.Level, l.textField("daemon"), l.Event)
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
