package runner

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"primroseward/core"
	"primroseward/platform"
)

// PaceTurn is the time for which a runner works at one pace.
const PaceTurn = 600 * time.Millisecond

// Pace is how long work takes at a runner, and what the runner states of it in its answers.
type Pace struct {
	Turns []float64 // multiples of the usual time, for PaceTurn each, again and again
	// Figure returns what the runner states as its pace; nil: its load has three figures.
	Figure func(pace float64) string
}

// StatePace states a pace as it is.
func StatePace(pace float64) string { return strconv.Itoa(int(math.Round(pace * core.UsualPace))) }

// StateAlways states the same figure at any pace.
func StateAlways(figure string) func(float64) string { return func(float64) string { return figure } }

// paceState is the pace of a runner since a time. The lock of the Server guards it.
type paceState struct {
	Pace
	since time.Time
}

// SetPace sets the runner's pace from now on; the runner states its load in all further answers.
func (s *Server) SetPace(p Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = paceState{p, time.Now()}
}

// PaceAt returns the runner's pace at a time.
func (s *Server) PaceAt(t time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.at(t)
}

func (p *paceState) at(t time.Time) float64 {
	if len(p.Turns) == 0 {
		return 1
	}
	return p.Turns[int(t.Sub(p.since)/PaceTurn)%len(p.Turns)]
}

// duration returns how long a piece of work takes that begins now.
func (s *Server) duration() time.Duration {
	return time.Duration(s.PaceAt(time.Now()) * float64(s.Interval))
}

// statePace adds the load to an answer's headers; s.mu must be held.
func (s *Server) statePace(h http.Header) {
	if s.pace.since.IsZero() {
		return
	}
	load := fmt.Sprintf("%d,%d,%d", min(s.running, s.Slots), max(0, s.running-s.Slots), s.Slots)
	if s.pace.Figure != nil {
		load += "," + s.pace.Figure(s.pace.at(time.Now()))
	}
	h.Set(platform.HeaderLoad, load)
}
