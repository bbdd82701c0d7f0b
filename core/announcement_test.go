package core

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against unreadable headers that would take a runner out of use until its end.
func TestReadLeaving(t *testing.T) {
	for _, tt := range []struct {
		name   string
		values []string
		want   Leaving
	}{
		{"absent", nil, Leaving{}},
		{"leaving", []string{" 1 "}, Leaving{Announced: true}},
		{"not leaving", []string{"0"}, Leaving{}},
		{"twice", []string{"1", "1"}, Leaving{Announced: true}},
		{"contradictory", []string{"1", "0"}, Leaving{Problem: "contradictory values"}},
		{"empty", []string{""}, Leaving{Problem: "neither 1 nor 0"}},
		{"text", []string{"true"}, Leaving{Problem: "neither 1 nor 0"}},
		{"another number", []string{"2"}, Leaving{Problem: "neither 1 nor 0"}},
		{"long", []string{strings.Repeat("1", 10<<10)}, Leaving{Problem: "neither 1 nor 0"}},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, ReadLeaving(tt.values), tt.want) })
	}
}

// Guards against unreadable times that would leave a runner unused, or send to it at once.
func TestReadBackoff(t *testing.T) {
	for _, tt := range []struct {
		name   string
		values []string
		want   Backoff
	}{
		{"absent", nil, Backoff{}},
		{"whole", []string{"3"}, Backoff{Announced: true, Duration: 3 * time.Second}},
		{"fraction", []string{" 0.25 "}, Backoff{Announced: true, Duration: 250 * time.Millisecond}},
		{"zero", []string{"0"}, Backoff{Announced: true}},
		{"very long", []string{"1000000000"}, Backoff{Announced: true, Duration: maxBackoffSeconds * time.Second}},
		{"exponent", []string{"1e9"}, Backoff{Problem: "not a decimal number"}},
		{"empty", []string{""}, Backoff{Problem: "empty"}},
		{"negative", []string{"-1"}, Backoff{Problem: "not a decimal number"}},
		{"not a number", []string{"NaN"}, Backoff{Problem: "not a decimal number"}},
		{"date", []string{"Thu, 03 Dec 2026 16:00:00 GMT"}, Backoff{Problem: "not a decimal number"}},
		{"two values", []string{"1", "2"}, Backoff{Problem: "named more than once"}},
		{"long", []string{strings.Repeat("1", 10<<10)}, Backoff{Problem: "too long"}},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, ReadBackoff(tt.values), tt.want) })
	}
}

func FuzzReadBackoff(f *testing.F) {
	for _, s := range []string{"", "3", "0.5", "-1", "1e9", "Inf"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got := ReadBackoff([]string{text})
		assert.Assert(t, got.Announced != (got.Problem != ""))
		assert.Assert(t, got.Duration >= 0 && got.Duration <= maxBackoffSeconds*time.Second)
	})
}
