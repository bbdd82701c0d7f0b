package logs

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// window is the span of a row of the table by time: bursts and losses of runners
	// last a few seconds.
	window = 2 * time.Second
	// loadClasses divide a runner's slots in the table by load; the last class is all
	// beyond its slots.
	loadClasses = 8
)

// outcome is how a request ended for its caller.
type outcome int

const (
	inTime outcome = iota
	lateFirst
	paused // in time to its first event, and a pause was too long
	refused
	failed
	outcomes
)

// Tally counts requests by how they ended.
type Tally struct {
	Requests int           `json:"requests"`
	InTime   int           `json:"intime"`
	Late     int           `json:"late"`   // the answer or first event came after the route's target
	Paused   int           `json:"paused"` // a pause between events was over the route's longest
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	First    time.Duration `json:"first"` // sum of the times to the answer or first event of those served
}

func (t *Tally) add(o outcome, first time.Duration) {
	t.Requests++
	*[outcomes]*int{&t.InTime, &t.Late, &t.Paused, &t.Refused, &t.Failed}[o]++
	t.First += first
}

// Share is a part of the requests, in per cent.
func (t *Tally) share(n int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(1, t.Requests)))
}

// Row is a Tally of the requests that have something in common.
type Row struct {
	Name string `json:"name"`
	Tally
}

// Losses tells where requests were not served in time. It is an on-call engineer's
// first look at a bad hour: which routes, when, and whether the runners chosen were
// full already.
type Losses struct {
	Routes   []Row `json:"routes"`
	Loads    []Row `json:"loads"`    // of streams, by how full their runner was thought to be
	Times    []Row `json:"times"`    // by when they ended
	Refusals []Row `json:"refusals"` // by code; Requests alone counts
}

// request is what the logs tell of one request.
type request struct {
	route  string
	load   int // class of its runner's load; below 0: none was chosen
	ended  bool
	result outcome
	first  time.Duration
	at     time.Time
	code   string
}

// CountLosses reads the ends of requests from the logs of one or several daemons. One
// that was sent to several runners counts with the last one.
func CountLosses(lines []Line) Losses {
	requests := map[string]*request{}
	for i := range lines {
		l := &lines[i]
		id := l.text("request")
		if id == "" {
			continue
		}
		r := requests[id]
		if r == nil {
			r = &request{load: -1, route: l.text("route")}
			requests[id] = r
		}
		r.take(l)
	}
	c := counts{routes: map[string]*Tally{}, loads: map[string]*Tally{}, times: map[string]*Tally{}, codes: map[string]*Tally{}}
	var begin time.Time
	for _, r := range requests {
		if r.ended && (begin.IsZero() || r.at.Before(begin)) {
			begin = r.at
		}
	}
	for _, r := range requests {
		if r.ended {
			c.add(r, begin)
		}
	}
	return Losses{Routes: rows(c.routes), Loads: rows(c.loads), Times: rows(c.times), Refusals: rows(c.codes)}
}

// take takes in a line on the request.
func (r *request) take(l *Line) {
	switch l.Event {
	case RunnerChosen:
		if slots := l.number("slots"); slots > 0 && l.text("model") != "" {
			r.load = min(loadClasses, int(loadClasses*l.number("requests")/slots))
		}
	case StreamEnded:
		r.end(l, streamOutcome(l), l.duration("first"))
	case AnswerEnded:
		o := inTime
		switch {
		case l.number("status") >= 500:
			o = failed
		case l.duration("took") > l.duration("target"):
			o = lateFirst
		}
		r.end(l, o, l.duration("took"))
	case Refused, RefusedBySettings, RefusedByAllowance:
		r.end(l, refused, 0)
		r.code = l.text("code")
	case AnswerLost, DeadlineExceeded:
		r.end(l, failed, 0)
	}
}

func streamOutcome(l *Line) outcome {
	whole, _ := l.Fields["whole"].(bool)
	switch {
	case !whole:
		return failed
	case l.duration("first") > l.duration("target"):
		return lateFirst
	case l.duration("maxgap") > 0 && l.duration("gap") > l.duration("maxgap"):
		return paused
	}
	return inTime
}

// end keeps how the request ended. The line of a stream that was cut follows the one
// that tells why.
func (r *request) end(l *Line, o outcome, first time.Duration) {
	if r.ended && r.result == failed {
		return
	}
	r.ended, r.result, r.first, r.at = true, o, first, l.Time
}

type counts struct{ routes, loads, times, codes map[string]*Tally }

func (c *counts) add(r *request, begin time.Time) {
	tallyOf(c.routes, r.route).add(r.result, r.first)
	tallyOf(c.times, fmt.Sprintf("%6d s", int(r.at.Sub(begin)/window*window/time.Second))).add(r.result, r.first)
	if r.load >= 0 && r.result != refused {
		tallyOf(c.loads, loadName(r.load)).add(r.result, r.first)
	}
	if r.result == refused {
		tallyOf(c.codes, r.code).add(refused, 0)
	}
}

func loadName(class int) string {
	if class == loadClasses {
		return "100% and more"
	}
	return fmt.Sprintf("%3d%% to %d%%", class*100/loadClasses, (class+1)*100/loadClasses)
}

func tallyOf(by map[string]*Tally, name string) *Tally {
	if by[name] == nil {
		by[name] = &Tally{}
	}
	return by[name]
}

func rows(by map[string]*Tally) []Row {
	out := make([]Row, 0, len(by))
	for name, t := range by {
		out = append(out, Row{name, *t})
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Print writes the tables.
func (l Losses) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, part := range []struct {
		title string
		rows  []Row
	}{{"route", l.Routes}, {"runner's load when chosen", l.Loads}, {"ended after", l.Times}, {"refusal", l.Refusals}} {
		fmt.Fprintf(w, "%s\trequests\tin time\tlate\tpaused\trefused\tfailed\tmean first\t\n", part.title)
		for i := range part.rows {
			r := &part.rows[i]
			served := r.InTime + r.Late + r.Paused
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%v\t\n", r.Name, r.Requests, r.share(r.InTime), r.share(r.Late), r.share(r.Paused),
				r.share(r.Refused), r.share(r.Failed), (r.First / time.Duration(max(1, served))).Round(time.Millisecond))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func (l *Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// duration reads a field that is in seconds, as durations are logged.
func (l *Line) duration(field string) time.Duration {
	return time.Duration(l.number(field) * float64(time.Second))
}
