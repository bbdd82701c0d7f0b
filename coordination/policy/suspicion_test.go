package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runners is how many runners the service has.
const runners = 16

// Guards against a prompt part that is taken for harmless by a single sign, and against a sound one that is taken for the
// cause because it was there at exits, as it is everywhere or as runners exit in waves.
func TestSuspicionOfParts(t *testing.T) {
	over := func(window time.Duration, exits, all, whole int, busy time.Duration) Exposure {
		return Exposure{Use: Use{Busy: busy, Whole: whole}, Events: exits, AllEvents: all, AllExits: all, Window: window, Up: runners * window}
	}
	for _, tt := range []struct {
		name           string
		recent, long   Exposure
		harmless, held bool
	}{
		{"crashes at once", over(300*time.Millisecond, 2, 2, 0, 140*time.Millisecond), over(time.Minute, 2, 2, 0, 140*time.Millisecond), false, true},
		{"crashes after 0.7 s, four exits", over(1300*time.Millisecond, 4, 4, 0, 4*time.Second), over(time.Minute, 4, 4, 0, 4*time.Second), false, true},
		{"crashes after 1.5 s, seven exits", over(2600*time.Millisecond, 7, 7, 0, 20*time.Second), over(time.Minute, 7, 7, 0, 20*time.Second), false, true},
		{"crashes under one run in five", over(3*time.Second, 4, 4, 16, 10*time.Second), over(time.Minute, 4, 4, 16, 10*time.Second), false, true},
		{"in use before", over(time.Second, 4, 4, 0, 600*time.Millisecond), over(time.Minute, 4, 4, 400, 60*time.Second), false, true},
		{"one of three causes", over(2*time.Second, 5, 15, 0, time.Second), over(time.Minute, 5, 15, 0, time.Second), false, true},
		{"crashes after 3 s, three streams in one wave", Exposure{Use: Use{Busy: 9 * time.Second, Runs: 3}, Events: 3, AllEvents: 8, AllExits: 8, Window: 4 * time.Second, Up: runners * 4 * time.Second}, Exposure{Use: Use{Busy: 9 * time.Second, Runs: 3}, Events: 3, AllEvents: 8, AllExits: 8, Window: time.Minute, Up: runners * time.Minute}, false, false},
		{"crashes after 3 s, eight exits", Exposure{Use: Use{Busy: 46 * time.Second, Runs: 28}, Events: 8, AllEvents: 8, AllExits: 8, Window: 4500 * time.Millisecond, Up: runners * 4500 * time.Millisecond}, Exposure{Use: Use{Busy: 46 * time.Second, Runs: 28}, Events: 8, AllEvents: 8, AllExits: 8, Window: time.Minute, Up: runners * time.Minute}, false, true},
		{"in all prompts", over(time.Second, 5, 5, 5, 14*time.Second), over(time.Minute, 5, 5, 500, 800*time.Second), false, false},
		{"in all prompts, served on", over(4*time.Second, 8, 8, 90, 50*time.Second), over(time.Minute, 8, 8, 500, 800*time.Second), true, false},
		{"in one prompt of seven, at three of twenty exits", over(3*time.Second, 3, 20, 2, 7*time.Second), over(time.Minute, 3, 20, 100, 140*time.Second), false, false},
		{"new, two long streams, at three of a wave of eight exits", over(3*time.Second, 3, 8, 0, 6*time.Second), over(time.Minute, 3, 8, 0, 6*time.Second), false, false},
		{"seldom used, there at one exit of three", over(time.Second, 1, 3, 0, time.Second), over(time.Minute, 1, 3, 3, 5*time.Second), false, false},
	} {
		s := Suspicion{Known: true, Requests: tt.recent.Events, Recent: tt.recent, Long: tt.long}
		assert.Equal(t, s.Harmless(), tt.harmless, tt.name)
		assert.Equal(t, s.Suffices() && !s.Harmless(), tt.held, "%s: %+v", tt.name, s.Odds())
	}
}

// Guards against runner after runner crashing at once under a part that nobody has been answered with, while most runners are
// down, and against holding back one that was answered.
func TestNewPartIsHeldAfterTwoEvents(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		fresh, events, whole int
		held                 bool
	}{
		{"two crashes just after the start", 2, 2, 0, true},
		{"two runners that exited together", 2, 1, 0, false},
		{"one of them later", 1, 2, 0, false},
		{"answered within the minute", 2, 2, 1, false},
	} {
		x := Exposure{Use: Use{Busy: 400 * time.Millisecond}, Events: tt.events, AllEvents: tt.events, AllExits: 2 * tt.events}
		s := Suspicion{Known: true, Requests: 2, Fresh: tt.fresh, Recent: x, Long: x}
		s.Recent.Window, s.Recent.Up = 400*time.Millisecond, 4*time.Second
		s.Long.Window, s.Long.Up, s.Long.Whole = time.Minute, runners*time.Minute, tt.whole
		assert.Equal(t, s.Suffices(), tt.held, "%s: %+v", tt.name, s.Odds())
	}
}

// Guards against holding back sound requests for other models than those at which a part crashes runners, and against a
// part that crashes runners at model after model.
func TestPartIsHeldAtItsModels(t *testing.T) {
	recent := Exposure{Use: Use{Busy: 300 * time.Millisecond}, Events: 3, AllEvents: 3, AllExits: 3, Window: time.Second}
	for _, tt := range []struct {
		name      string
		recent    Exposure
		elsewhere Use
		at        bool
	}{
		{"not used for others", recent, Use{}, false},
		{"one has just begun for another", recent, Use{Busy: 50 * time.Millisecond}, false},
		{"served for another", recent, Use{Busy: 2 * time.Second, Whole: 2}, true},
		{"streams go on for another", recent, Use{Busy: 2 * time.Second}, true},
		{"crashes under one run in five, three answers for another", Exposure{Use: Use{Busy: 6 * time.Second, Whole: 12}, Events: 3, AllEvents: 3, AllExits: 3, Window: 3 * time.Second, Up: runners * 3 * time.Second}, Use{Busy: time.Second, Whole: 3}, false},
	} {
		s := Suspicion{Known: true, Recent: tt.recent, Elsewhere: tt.elsewhere}
		assert.Equal(t, s.AtModels(), tt.at, tt.name)
	}
}

// Guards against holding back a part that was by chance at all of some runners that exited together, and against one that
// seems to be seldom at runners as most of these are not up.
func TestInstancesOfAWindow(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	exit := func(age int, part bool) KnownInstance {
		return KnownInstance{Exited: true, Age: ms(age), Life: ms(9000), Part: part}
	}
	for _, tt := range []struct {
		name                  string
		list                  []KnownInstance
		events, all, allExits int
		up                    time.Duration
	}{
		{"three together", []KnownInstance{exit(500, true), exit(502, true), exit(560, true)}, 1, 1, 3, ms(1438)},
		{"one after the other", []KnownInstance{exit(100, true), exit(400, true), exit(700, true)}, 3, 3, 3, ms(1800)},
		{"two together, one of them without the part, and one before", []KnownInstance{exit(300, false), exit(310, true), exit(900, true)}, 2, 2, 3, ms(1490)},
		{"without the part", []KnownInstance{exit(300, false), exit(700, false)}, 0, 2, 2, ms(1000)},
		{"before the window", []KnownInstance{exit(300, true), exit(5000, false)}, 1, 1, 1, ms(700)},
		{"a long series is not one event", []KnownInstance{exit(120, true), exit(200, true), exit(300, true), exit(380, true)}, 2, 2, 4, ms(3000)},
		{"starts are not known", []KnownInstance{{}, {Exited: true, Age: ms(600)}}, 0, 1, 1, ms(1400)},
		{"one has just started, one exited soon", []KnownInstance{{Life: ms(300)}, {Life: ms(9000)}, {Exited: true, Age: ms(600), Life: ms(50)}}, 0, 1, 1, ms(1350)},
	} {
		x := Exposure{Window: time.Second}
		x.AddInstances(tt.list)
		assert.Equal(t, [3]int{x.Events, x.AllEvents, x.AllExits}, [3]int{tt.events, tt.all, tt.allExits}, tt.name)
		assert.Equal(t, x.Up, tt.up, tt.name)
	}
}
