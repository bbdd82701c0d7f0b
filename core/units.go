package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that reads and writes as text such as "1.5s".
type Duration time.Duration

// UnmarshalText reads a non-negative duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("want a duration such as \"1.5s\", got %q", b)
	}
	if v < 0 {
		return fmt.Errorf("want a duration of zero or more, got %q", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Bytes is a size in bytes that reads and writes as text such as "14GB".
// Units are decimal.
type Bytes int64

var units = []struct {
	suffix string
	size   int64
}{{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// UnmarshalText reads a size with a unit of B, KB, MB, GB or TB.
func (s *Bytes) UnmarshalText(b []byte) error {
	text := strings.TrimSpace(string(b))
	for _, u := range units {
		num, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
		if err != nil || v < 0 || v*float64(u.size) > 1e18 {
			break
		}
		*s = Bytes(v * float64(u.size))
		return nil
	}
	return fmt.Errorf("want a size such as \"14GB\", got %q", text)
}

// MarshalText writes the size in its largest whole unit.
func (s Bytes) MarshalText() ([]byte, error) {
	for _, u := range units {
		if s != 0 && int64(s)%u.size == 0 {
			return []byte(strconv.FormatInt(int64(s)/u.size, 10) + u.suffix), nil
		}
	}
	return []byte("0B"), nil
}
