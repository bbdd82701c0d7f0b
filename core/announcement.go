package core

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// DefaultMaxBackoff is the longest backoff that is granted to an endpoint, unless the settings
// name another.
const DefaultMaxBackoff = time.Minute

const (
	// maxDecimalLength bounds the text of a decimal number in a header, in bytes.
	maxDecimalLength = 32
	// maxBackoffSeconds bounds a backoff, in seconds, so that it fits a time.Duration. Longer ones
	// are read as this long.
	maxBackoffSeconds = 1e6
)

// Values of the header by which an endpoint announces that it is leaving.
const (
	leavingValue    = "1"
	notLeavingValue = "0"
)

// Leaving is what an answer states about whether its endpoint is leaving. The zero value
// means that it states nothing, or that the endpoint is not leaving.
type Leaving struct {
	Announced bool   // the endpoint is leaving: its instance accepts no new requests
	Problem   string // why the header can't be read; it then counts as absent
}

// ReadLeaving parses the values of an answer's leaving header. Several equal values are read
// as one.
func ReadLeaving(values []string) Leaving {
	leaving := false
	for i, v := range values {
		v = strings.TrimSpace(v)
		if v != leavingValue && v != notLeavingValue {
			return Leaving{Problem: "neither 1 nor 0"}
		}
		if i > 0 && leaving != (v == leavingValue) {
			return Leaving{Problem: "contradictory values"}
		}
		leaving = v == leavingValue
	}
	return Leaving{Announced: leaving}
}

// Backoff is the time for which an endpoint that rejects a request asks its caller to send
// nothing. The zero value means that it asks for none.
type Backoff struct {
	Announced bool
	Duration  time.Duration // 0: requests may be sent again at once
	Problem   string        // why the header can't be read; it then counts as absent
}

// ReadBackoff parses the values of the Retry-After header of an endpoint's rejection, which
// should be a single decimal number of seconds.
func ReadBackoff(values []string) Backoff {
	if len(values) == 0 {
		return Backoff{}
	}
	seconds, problem := readDecimal(values)
	if problem != "" {
		return Backoff{Problem: problem}
	}
	return Backoff{Announced: true, Duration: time.Duration(min(seconds, maxBackoffSeconds) * float64(time.Second))}
}

// Brittle is the announcement of an endpoint that it fails if it has to reject too many requests for
// want of room. The zero value means that it announces none.
type Brittle struct {
	Announced  bool
	Rejections float64 // per second, that it can bear
	Problem    string  // why the header can't be read; it then counts as absent
}

// ReadBrittle parses the values of an answer's brittle header, which should be a single decimal
// number of rejections per second.
func ReadBrittle(values []string) Brittle {
	if len(values) == 0 {
		return Brittle{}
	}
	n, problem := readDecimal(values)
	if problem != "" {
		return Brittle{Problem: problem}
	}
	return Brittle{Announced: true, Rejections: n}
}

// readDecimal parses the values of a header that should be a single decimal number, 0 or
// above. Its problem is empty if they are.
func readDecimal(values []string) (number float64, problem string) {
	if len(values) > 1 {
		return 0, "named more than once"
	}
	text := strings.TrimSpace(values[0])
	if text == "" {
		return 0, "empty"
	}
	if len(text) > maxDecimalLength {
		return 0, "too long"
	}
	if strings.Trim(text, "0123456789.") != "" {
		return 0, "not a decimal number"
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) {
		return 0, "not a decimal number"
	}
	return number, ""
}
