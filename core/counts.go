package core

import "encoding/json"

// Levels is how many levels of urgency requests are counted by; less urgent ones count
// with the last.
const Levels = 4

// Counts are requests in progress by urgency, the most urgent first.
type Counts [Levels]int

// Level is the level at which a request of a priority counts; 0 is the most urgent.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Sum is the number of all requests.
func (c Counts) Sum() int { return c.Ahead(Levels - 1) }

// Ahead is the number of requests that are at least as urgent as a level.
func (c Counts) Ahead(level int) int {
	n := 0
	for _, v := range c[:level+1] {
		n += v
	}
	return n
}

// Plus adds other counts.
func (c Counts) Plus(o Counts) Counts {
	for i, v := range o {
		c[i] += v
	}
	return c
}

// MarshalJSON leaves out the levels behind the last that counts: daemons tell each
// other these several times a second.
func (c Counts) MarshalJSON() ([]byte, error) {
	n := Levels
	for n > 0 && c[n-1] == 0 {
		n--
	}
	return json.Marshal(c[:n])
}
