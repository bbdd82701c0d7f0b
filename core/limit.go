package core

// maxRate is the highest limit that is accepted, in requests per second.
const maxRate = 1e6

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
	rate, problem := readDecimal(values)
	if problem == "" && rate > maxRate {
		problem = "too large"
	}
	if problem != "" {
		return RateLimit{Problem: problem}
	}
	return RateLimit{Announced: true, Rate: rate}
}
