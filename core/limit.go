package core

import (
	"math"
	"strconv"
	"strings"
)

const (
	// maxRateLength bounds the text of a limit, in bytes.
	maxRateLength = 32
	// maxRate is the highest limit that is accepted, in requests per second.
	maxRate = 1e6
)

// RateLimit is the limit that an answer announces: how many requests per second its
// endpoint accepts from all daemons together. The zero value means that none is announced.
type RateLimit struct {
	Announced bool    // a valid limit is announced
	Rate      float64 // requests per second; 0: only requests that probe whether the limit has changed
	Problem   string  // why the announced limit can't be read; it then counts as none
}

// ReadRateLimit parses the values of an answer's limit header, which should be a single
// decimal number of requests per second.
func ReadRateLimit(values []string) RateLimit {
	if len(values) == 0 {
		return RateLimit{}
	}
	if len(values) > 1 {
		return RateLimit{Problem: "named more than once"}
	}
	text := strings.TrimSpace(values[0])
	if text == "" {
		return RateLimit{Problem: "empty"}
	}
	if len(text) > maxRateLength {
		return RateLimit{Problem: "too long"}
	}
	if strings.Trim(text, "0123456789.") != "" {
		return RateLimit{Problem: "not a decimal number"}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) {
		return RateLimit{Problem: "not a decimal number"}
	}
	if rate > maxRate {
		return RateLimit{Problem: "too large"}
	}
	return RateLimit{Announced: true, Rate: rate}
}
