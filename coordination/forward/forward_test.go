package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"primroseward/core"
	"primroseward/platform"
	"primroseward/protocol/runner"
	"primroseward/state/catalog"
	"primroseward/transport/front"
	"primroseward/transport/intake"
)

// TestRefusalOfAnUnreadRequest guards against a forwarded request that another daemon has refused before it read its id, and that
// counts as lost, so that its caller is told that it may have run.
func TestRefusalOfAnUnreadRequest(t *testing.T) {
	clock := clockwork.NewRealClock()
	for _, tt := range []struct {
		name   string
		memory int64 // of the other daemon, in bytes
		head   int   // bytes added to the request's head
		status int
		code   string
		retry  bool
	}{
		{"no room", 1 << 10, 0, http.StatusServiceUnavailable, core.CodeOverloaded, true},
		{"no room for a head in parts", 1 << 10, 30 << 10, http.StatusServiceUnavailable, core.CodeOverloaded, true},
		{"over the limit", 64 << 20, 300 << 10, http.StatusRequestHeaderFieldsTooLarge, "headers_too_large", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			in := intake.New(intake.Limits{Memory: tt.memory}, clock, zap.NewNop())
			f := front.New(catalog.New(clock), platform.Dialect{}, nil, clock, zap.NewNop(), front.WithIntake(in))
			srv := httptest.NewUnstartedServer(f.Forwarded(http.NotFoundHandler()))
			srv.Listener = in.Listen(srv.Listener, f.PeerPort())
			in.Attach(srv.Config)
			srv.Start()
			defer srv.Close()
			to := &core.Runner{ID: "vm-2", Addr: netip.MustParseAddrPort(srv.Listener.Addr().(*net.TCPAddr).String())}
			q := &core.Request{
				ID: "q1", Method: http.MethodPost, Host: "h.example", Target: "/a/x", Body: []byte("ok"),
				Header: http.Header{platform.HeaderRequestID: {"q1"}, "X-More": {strings.Repeat("x", tt.head)}},
			}
			forwarder := &Forwarder{conns: runner.New(clock, hopDialect{platform.Dialect{}}), clock: clock}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := forwarder.Send(ctx, to, q, core.Outgoing{Forward: &core.Forward{From: "vm-1", Attempts: 1}})
			var refusal *core.RequestError
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			got := fmt.Sprint(refusal.Outcome, refusal.Status, refusal.Code, refusal.Runs, refusal.Arrived, refusal.Retry > 0)
			assert.Equal(t, got, fmt.Sprint(core.OutcomeNotRun, tt.status, tt.code, 0, false, tt.retry))
		})
	}
}
