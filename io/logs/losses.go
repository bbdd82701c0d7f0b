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
	// timeWindow is the time span of one row in the table by time. Bursts, and the effects
	// of runners' failures, last a few seconds.
	timeWindow = 2 * time.Second
	// loadClasses is the number of classes into which a runner's slots are divided in
	// the table by load. A further class is for loads of all slots and more.
	loadClasses = 8
)

// outcome is the result of a request for its caller.
type outcome int

const (
	inTime outcome = iota
	lateFirst
	paused // first event in time, but a pause between events was too long
	refused
	failed
	outcomes
)

// Tally counts requests by outcome.
type Tally struct {
	Requests int           `json:"requests"`
	InTime   int           `json:"intime"`
	Late     int           `json:"late"`   // the answer or first event came after the route's target
	Paused   int           `json:"paused"` // a pause between events exceeded the route's longest
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	First    time.Duration `json:"first"` // sum, over the requests served, of the time to the answer or first event
}

func (t *Tally) add(o outcome, first time.Duration) {
	t.Requests++
	*[outcomes]*int{&t.InTime, &t.Late, &t.Paused, &t.Refused, &t.Failed}[o]++
	t.First += first
}

// share returns n as a percentage of the requests.
func (t *Tally) share(n int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(max(1, t.Requests)))
}

// Row is a named Tally of one group of requests.
type Row struct {
	Name string `json:"name"`
	Tally
}

// Losses shows which requests were not served in time. It gives an on-call engineer an
// overview of an incident: which routes were affected, when, and whether the chosen
// runners were already full.
type Losses struct {
	Routes   []Row `json:"routes"`
	Loads    []Row `json:"loads"`    // streams, by the assumed load of their runner
	Times    []Row `json:"times"`    // by time of the end
	Refusals []Row `json:"refusals"` // by code; only Requests and Refused are set
	Cuts     []Row `json:"cuts"`     // answers cut, by cause; only Requests and Failed are set
}

// request is the information on one request from the logs.
type request struct {
	route  string
	load   int // class of its runner's load; below 0: no runner chosen, or not a model request
	ended  bool
	result outcome
	first  time.Duration
	at     time.Time
	code   string
}

// CountLosses counts the outcomes of requests from the logs of one or several daemons. A
// request that was sent to several runners counts for the load of the last one.
func CountLosses(lines []Line) Losses {
	requests := map[string]*request{}
	for i := range lines {
		l := &lines[i]
		id := l.textField("request")
		if id == "" {
			continue
		}
		r := requests[id]
		if r == nil {
			r = &request{load: -1, route: l.textField("route")}
			requests[id] = r
		}
		r.update(l)
	}
	cuts := map[string]*Tally{}
	for i := range lines {
		if cause := lines[i].cutCause(); cause != "" {
			tallyOf(cuts, cause).add(failed, 0)
		}
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
	return Losses{Routes: rows(c.routes), Loads: rows(c.loads), Times: rows(c.times), Refusals: rows(c.codes), Cuts: rows(cuts)}
}

// cutCause returns what cut the answer that a line is on, or an empty string. Lines of a daemon to which the
// request was forwarded are left out.
func (l *Line) cutCause() string {
	if forwarded, _ := l.Fields["forwarded"].(bool); forwarded {
		return ""
	}
	switch l.Event {
	case AnswerCut:
		return l.textField("cause")
	case CallerDisconnected:
		return CauseCallerGone
	case HandlerPanicked:
		if cut, _ := l.Fields["cut"].(bool); cut {
			return "panic"
		}
	}
	return ""
}

// update updates the request's state from a log line on it.
func (r *request) update(l *Line) {
	switch l.Event {
	case RunnerChosen:
		if slots := l.numberField("slots"); slots > 0 && l.textField("model") != "" {
			r.load = min(loadClasses, int(loadClasses*l.numberField("requests")/slots))
		}
	case StreamEnded:
		r.recordEnd(l, streamOutcome(l), l.durationField("first"))
	case AnswerEnded:
		o := inTime
		switch {
		case l.numberField("status") >= 500:
			o = failed
		case l.durationField("took") > l.durationField("target"):
			o = lateFirst
		}
		r.recordEnd(l, o, l.durationField("took"))
	case Refused, RefusedBySettings, RefusedByAllowance:
		r.recordEnd(l, refused, 0)
		r.code = l.textField("code")
	case AnswerLost, DeadlineExceeded:
		r.recordEnd(l, failed, 0)
	}
}

func streamOutcome(l *Line) outcome {
	whole, _ := l.Fields["whole"].(bool)
	switch {
	case !whole:
		return failed
	case l.durationField("first") > l.durationField("target"):
		return lateFirst
	case l.durationField("maxgap") > 0 && l.durationField("gap") > l.durationField("maxgap"):
		return paused
	}
	return inTime
}

// recordEnd records the outcome of the request. A failure that was recorded before is kept: the
// end of a truncated stream is logged after the line with the cause.
func (r *request) recordEnd(l *Line, o outcome, first time.Duration) {
	if r.ended && r.result == failed {
		return
	}
	r.ended, r.result, r.first, r.at = true, o, first, l.Time
}

type counts struct{ routes, loads, times, codes map[string]*Tally }

func (c *counts) add(r *request, begin time.Time) {
	tallyOf(c.routes, r.route).add(r.result, r.first)
	tallyOf(c.times, fmt.Sprintf("%6d s", int(r.at.Sub(begin)/timeWindow*timeWindow/time.Second))).add(r.result, r.first)
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

// Print writes the tables to out.
func (l Losses) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, part := range []struct {
		title string
		rows  []Row
	}{{"route", l.Routes}, {"runner's load when chosen", l.Loads}, {"ended after", l.Times}, {"refusal", l.Refusals}, {"answer cut", l.Cuts}} {
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

func (l *Line) numberField(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// durationField returns a field with a duration, which is logged in seconds.
func (l *Line) durationField(field string) time.Duration {
	return time.Duration(l.numberField(field) * float64(time.Second))
}
