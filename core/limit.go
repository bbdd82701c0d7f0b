package core

import (
	"math"
	"strconv"
	"strings"
)

const (
	// maxRateText bounds the text of a limit, in bytes.
	maxRateText = 32
	// maxRate is the highest limit that is taken for one, in requests a second.
	maxRate = 1e6
)

// RateLimit is what an answer says of how many requests a second its endpoint takes from
// all daemons together. The zero value says nothing of it.
type RateLimit struct {
	Named   bool
	Rate    float64 // requests a second; 0: none but those that ask whether that has changed
	Problem string  // why what is named can't be read; it counts as none
}

// ReadRateLimit reads a decimal number of requests a second, as an answer's headers of one
// name have it.
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
	if len(text) > maxRateText {
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
	return RateLimit{Named: true, Rate: rate}
}
