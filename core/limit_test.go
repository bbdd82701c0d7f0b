package core

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against unreadable limits that would block requests or admit an unlimited number.
func TestReadRateLimit(t *testing.T) {
	for _, tt := range []struct {
		name   string
		values []string
		want   RateLimit
	}{
		{"absent", nil, RateLimit{}},
		{"whole", []string{"6"}, RateLimit{Announced: true, Rate: 6}},
		{"decimal", []string{" 6.1 "}, RateLimit{Announced: true, Rate: 6.1}},
		{"no digit before the point", []string{".5"}, RateLimit{Announced: true, Rate: 0.5}},
		{"zero", []string{"0"}, RateLimit{Announced: true}},
		{"empty", []string{""}, RateLimit{Problem: "empty"}},
		{"blank", []string{"  "}, RateLimit{Problem: "empty"}},
		{"negative", []string{"-1"}, RateLimit{Problem: "not a decimal number"}},
		{"text", []string{"few"}, RateLimit{Problem: "not a decimal number"}},
		{"not a number", []string{"NaN"}, RateLimit{Problem: "not a decimal number"}},
		{"infinite", []string{"Inf"}, RateLimit{Problem: "not a decimal number"}},
		{"hexadecimal", []string{"0x1p4"}, RateLimit{Problem: "not a decimal number"}},
		{"two points", []string{"1.2.3"}, RateLimit{Problem: "not a decimal number"}},
		{"comma-separated list", []string{"1,2"}, RateLimit{Problem: "not a decimal number"}},
		{"huge", []string{"99999999999"}, RateLimit{Problem: "too large"}},
		{"two values", []string{"1", "2"}, RateLimit{Problem: "named more than once"}},
		{"long", []string{strings.Repeat("1", 10<<10)}, RateLimit{Problem: "too long"}},
	} {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, ReadRateLimit(tt.values), tt.want) })
	}
}

func FuzzReadRateLimit(f *testing.F) {
	for _, s := range []string{"", "6.1", "-1", "1e9", "Inf"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got := ReadRateLimit([]string{text})
		assert.Assert(t, got.Announced != (got.Problem != ""))
		assert.Assert(t, got.Rate >= 0 && got.Rate <= maxRate)
	})
}
