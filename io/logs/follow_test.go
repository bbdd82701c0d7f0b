package logs

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `front-1 {"level":"info","ts":"2026-01-01T10:00:00.000Z","msg":"runner","daemon":"d1","runner":"r1","draining":true}
front-1 {"level":"info","ts":"2026-01-01T10:00:01.000Z","msg":"runner","daemon":"d1","runner":"r2","draining":false}
front-2 {"level":"info","ts":"2026-01-01T10:00:02.000Z","msg":"store lost","daemon":"d2"}
front-1 {"level":"warn","ts":"2026-01-01T10:00:03.500Z","msg":"answer lost","daemon":"d1","request":"q1","runner":"r1"}
front-1 {"level":"info","ts":"2026-01-01T10:00:03.000Z","msg":"runner chosen","daemon":"d1","request":"q1","runner":"r1","model":"m"}
front-2 {"level":"info","ts":"2026-01-01T10:00:02.500Z","msg":"order","daemon":"d2","runner":"r1","model":"m"}
front-1 {"level":"info","ts":"2026-01-01T10:00:03.000Z","msg":"runner chosen","daemon":"d1","request":"q2","runner":"r1"}
front-1 {"level":"error","ts":"2026-01-01T10:00:04.000Z","msg":"log lines left out","daemon":"d1","lines":7}
a line of something else
`

func TestFollow(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(sample))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	var b bytes.Buffer
	assert.NilError(t, Print(&b, Follow(lines, "q1")))
	assert.Equal(t, b.String(), `10:00:00.000 info  d1: runner draining=true runner=r1
10:00:02.500 info  d2: order model=m runner=r1
10:00:03.000 info  d1: runner chosen model=m request=q1 runner=r1
10:00:03.500 warn  d1: answer lost request=q1 runner=r1
10:00:04.000 error d1: log lines left out lines=7
`)
	assert.Equal(t, len(Follow(lines, "none")), 0)
}

// Guards against leaving out why a request was on hold. The cause is requests with the same
// digest at other daemons, minutes before; the request's own lines do not show it.
func TestFollowShowsCauseOfHold(t *testing.T) {
	lines, _, err := Read(strings.NewReader(`
{"level":"info","ts":"2026-01-01T10:00:00.000Z","msg":"runner's end counted","daemon":"d2","digest":"aa","runner":"r1","runners":3}
{"level":"info","ts":"2026-01-01T10:00:00.000Z","msg":"runner's end counted","daemon":"d2","digest":"bb","runner":"r1","runners":1}
{"level":"warn","ts":"2026-01-01T10:00:00.150Z","msg":"hold","daemon":"d2","digest":"aa","state":"held"}
{"level":"warn","ts":"2026-01-01T10:05:00.000Z","msg":"refused","daemon":"d1","request":"q1","digest":"aa","code":"held_back"}
`))
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, Print(&b, Follow(lines, "q1")))
	assert.Equal(t, b.String(), `10:00:00.000 info  d2: runner's end counted digest=aa runner=r1 runners=3
10:00:00.150 warn  d2: hold digest=aa state=held
10:05:00.000 warn  d1: refused code=held_back digest=aa request=q1
`)
}
