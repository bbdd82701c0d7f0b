package core

import (
	"strconv"
	"strings"
	"time"
)

const (
	// UsualPace is the figure by which a runner states that work takes as long as usual there.
	UsualPace = 100
	// maxPaceFigure is the largest figure that is believed, a hundred times the usual.
	maxPaceFigure = 10000
	// MaxPace bounds a pace, as a multiple of the usual.
	MaxPace = maxPaceFigure / UsualPace
	// MinPace is the lowest pace, as a multiple of the usual.
	MinPace = 1.0 / UsualPace
	// PaceTTL is how long a pace is used. Work is slower in intervals of 600 ms, so that an older one says little of
	// the moment.
	PaceTTL = 500 * time.Millisecond
	// maxPaceLength bounds the text of the figure in bytes.
	maxPaceLength = 32
)

// ReadPace parses the figure by which a runner states how long work takes there, where UsualPace is the usual.
// The pace is a multiple of the usual. If there is a problem the pace is 0, as if it was not stated.
func ReadPace(text string) (pace float64, problem string) {
	text = strings.TrimSpace(text)
	switch {
	case text == "":
		return 0, "empty"
	case len(text) > maxPaceLength:
		return 0, "too long"
	case strings.Trim(text, "0123456789") != "":
		return 0, "not a whole number above 0"
	}
	n, err := strconv.ParseUint(text, 10, 64)
	switch {
	case err != nil || n > maxPaceFigure:
		return 0, "too large"
	case n == 0:
		return 0, "not a whole number above 0"
	}
	return float64(n) / UsualPace, ""
}

// ValidPace reports whether a pace is one that a runner can state.
func ValidPace(pace float64) bool { return pace >= MinPace && pace <= MaxPace }
