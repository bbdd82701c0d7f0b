package retain

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// zeros is a body of n bytes.
func zeros(n int) io.Reader { return io.LimitReader(endless{}, int64(n)) }

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bodies that together take more than their share of the memory, and against room that is lost.
func TestBodiesStayWithinTheirBudget(t *testing.T) {
	const limit = 1 << 20
	rapid.Check(t, func(rt *rapid.T) {
		budget := New(limit)
		var bodies []*Body
		rt.Repeat(map[string]func(*rapid.T){
			"arrives": func(rt *rapid.T) {
				size := rapid.OneOf(rapid.IntRange(0, 4<<10), rapid.IntRange(0, limit)).Draw(rt, "size")
				in, length, broken := zeros(size), int64(size), rapid.Bool().Draw(rt, "broken")
				if rapid.Bool().Draw(rt, "chunked") {
					length = -1
				}
				if broken {
					in = io.MultiReader(zeros(size/2), iotest.ErrReader(io.ErrClosedPipe))
				}
				free, b := budget.limit-budget.Used(), &Body{}
				err := b.Read(in, length, budget)
				switch {
				case err == nil:
					assert.Equal(rt, len(b.Data), size)
					bodies = append(bodies, b)
				case !broken && length >= 0 && size <= small:
					assert.Assert(rt, int64(size) > free, "refused though there is room: %v", err)
				default:
					assert.Assert(rt, broken || errors.Is(err, ErrFull) || errors.Is(err, ErrLarge))
				}
			},
			"ends": func(*rapid.T) {
				if len(bodies) > 0 {
					bodies[0].Release()
					bodies = bodies[1:]
				}
			},
			"": func(rt *rapid.T) {
				held := int64(0)
				for _, b := range bodies {
					held += int64(cap(b.Data))
				}
				assert.Equal(rt, budget.Used(), held)
				assert.Assert(rt, held <= limit)
			},
		})
	})
}

// Guards against small requests that find no room beside large ones, and against waiting for room that never comes.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	budget := New(1 << 20)
	for _, tt := range []struct {
		size int64
		err  error
	}{{1 << 20, ErrLarge}, {700 << 10, nil}, {100 << 10, ErrFull}, {60 << 10, nil}, {60 << 10, nil}} {
		var b Body
		assert.ErrorIs(t, b.Read(zeros(int(tt.size)), tt.size, budget), tt.err, "%d", tt.size)
	}
	var b Body
	assert.ErrorIs(t, b.Read(strings.NewReader("cut"), 4, New(10)), io.ErrUnexpectedEOF)
}

// Guards against large heads that take the room of bodies, and against one that is refused though it is alone.
func TestLargeHeadsLeaveRoom(t *testing.T) {
	budget := New(1 << 20)
	for _, tt := range []struct {
		size, taken int
		ok          bool
	}{{2 << 20, 512 << 10, true}, {100 << 10, 100 << 10, false}, {60 << 10, 60 << 10, true}} {
		taken, ok := budget.TakeHead(tt.size)
		assert.Equal(t, taken, tt.taken)
		assert.Equal(t, ok, tt.ok, "%d", tt.size)
	}
	var b Body
	assert.NilError(t, b.Read(zeros(190<<10), 190<<10, budget))
}
