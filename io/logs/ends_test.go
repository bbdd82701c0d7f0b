package logs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endSite is a place in the product's code that ends a caller's connection or request, or may. what says
// which; "no caller" means that it is the connection of a runner, an operator's tool or another daemon.
type endSite struct {
	file, function, kind string
	number               int // in the function
	what                 string
}

// endSites lists all of them, by file and function. The ways are described in docs/GUARANTEES.md, "Ends of callers' connections".
var endSites = []endSite{
	{"cmd/primrosed/main.go", "main", "Exit", 2, "the process ends before it listens, or as it cannot start"},
	{"cmd/primrosed/main.go", "run", "Close", 1, "no caller: the logs"},
	{"coordination/dispatch/ahead.go", "readAhead.Read", "panic", 1, "a panic that was met while reading ahead, in the goroutine of the request"},
	{"coordination/dispatch/ahead.go", "readAhead.passPanic", "recover", 1, "the same, in the goroutine that reads ahead"},
	{"coordination/dispatch/dispatch.go", "Dispatcher.Do", "WithDeadline", 1, "the request's deadline"},
	{"coordination/dispatch/forward.go", "job.forward", "WithCancel", 1, "no caller: a forwarded send"},
	{"coordination/dispatch/origin.go", "Dispatcher.runAdmit", "WithTimeout", 1, "no caller: a version"},
	{"coordination/dispatch/origin.go", "job.awaitAdmission", "WithTimeout", 1, "a wait within the request, which is refused after it"},
	{"coordination/dispatch/send.go", "job.send", "WithCancel", 1, "no caller: a send to a runner"},
	{"coordination/dispatch/silence.go", "stallWatch.check", "WithCancel", 1, "no caller: a send beside a silent runner"},
	{"coordination/entry/attempts.go", "execution.cancelRemote", "WithTimeout", 1, "no caller: a call to an owner"},
	{"coordination/entry/entry.go", "Entry.Begin", "WithDeadline", 1, "the request's deadline"},
	{"coordination/entry/entry.go", "Entry.Start", "WithCancel", 1, "no caller: duties of the entry"},
	{"coordination/entry/held.go", "Entry.locate", "WithTimeout", 1, "a look-up within the request, which goes on without it"},
	{"coordination/entry/held.go", "Entry.sendPointer", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"coordination/entry/locator.go", "Entry.SendReports", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"coordination/entry/locator.go", "locator.lookupAt", "WithTimeout", 1, "a look-up within the request, which goes on without it"},
	{"io/tcp/reset.go", "ResetUntilComplete", "SetLinger", 2, "a reset in place of an end that would look complete"},
	{"services/daemon/daemon.go", "Daemon.Start", "WithCancel", 1, "no caller: gauges"},
	{"services/daemon/daemon.go", "Daemon.Stop", "Close", 3, "the end of the grace time; the pool of calls to daemons"},
	{"services/daemon/daemon.go", "Daemon.Stop", "Shutdown", 2, "idle connections as the daemon leaves"},
	{"services/daemon/daemon.go", "Daemon.Stop", "WithTimeout", 1, "no caller: answers that are handed over"},
	{"services/daemon/daemon.go", "Daemon.listen", "ReadHeaderTimeout", 1, "no caller: operators"},
	{"services/daemon/daemon.go", "Daemon.sync", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"services/daemon/network.go", "network.sendMessage", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"services/fleet/copy.go", "Daemon.get", "Encode", 1, "no caller: a call to another daemon"},
	{"services/fleet/copy.go", "Daemon.snapshotHandler", "Write", 1, "no caller: another daemon"},
	{"services/fleet/copy.go", "Daemon.snapshotOf", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"services/fleet/departures.go", "Daemon.fetchDepartures", "MaxBytesReader", 1, "no caller: a call to another daemon"},
	{"services/fleet/departures.go", "Daemon.fetchDepartures", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"services/fleet/departures.go", "Daemon.handleDepartures", "Encode", 1, "no caller: another daemon"},
	{"services/fleet/fleet.go", "Daemon.Start", "WithCancel", 1, "no caller: departures"},
	{"services/fleet/fleet.go", "Daemon.Stop", "Close", 2, "the listener; the end of the grace time"},
	{"services/fleet/fleet.go", "Daemon.Stop", "WithTimeout", 1, "no caller: the lease"},
	{"services/fleet/fleet.go", "Daemon.listen", "ReadHeaderTimeout", 4, "no caller: load balancers, directory, other daemons, operators"},
	{"services/fleet/packed.go", "snapshotCache.get", "Close", 1, "no caller: a packed snapshot"},
	{"services/fleet/packed.go", "snapshotCache.get", "Encode", 1, "no caller: a packed snapshot"},
	{"services/fleet/yield.go", "currentHolder.RequestYield", "WithTimeout", 1, "no caller: a call to another daemon"},
	{"transport/admin/admin.go", "Admin.authorize", "MaxBytesReader", 1, "no caller: operators"},
	{"transport/admin/admin.go", "reply", "Encode", 1, "no caller: operators"},
	{"transport/front/connections.go", "callerConn.Close", "Close", 1, "no end of its own: the connection's Close"},
	{"transport/front/connections.go", "callerListener.Close", "Close", 1, "no connection: the listener"},
	{"transport/front/connections.go", "endReadIn", "SetReadDeadline", 1, "a body that is late: refused; what is read behind a refusal"},
	{"transport/front/front.go", "Front.Server", "IdleTimeout", 1, "none: the limits of the configuration apply"},
	{"transport/intake/calls.go", "callEnd.Close", "SetReadDeadline", 1, "no caller: the message of a call between daemons, which is not whole"},
	{"transport/intake/conn.go", "Conn.Close", "Close", 1, "no end of its own: the server's"},
	{"transport/intake/conn.go", "Conn.SetWriteDeadline", "SetWriteDeadline", 1, "no end of its own: the server's"},
	{"transport/intake/conn.go", "Conn.Write", "SetWriteDeadline", 1, "an answer that is not read"},
	{"transport/intake/conn.go", "Conn.Write", "Write", 1, "a write to the client fails"},
	{"transport/intake/conn.go", "Conn.abort", "Close", 1, "a connection that is closed to make room, or is late"},
	{"transport/intake/intake.go", "listener.Accept", "Close", 1, "a new connection without room"},
	{"transport/intake/intake.go", "listener.Close", "Close", 1, "no connection: the listener"},
	{"transport/intake/refusal.go", "Conn.refuse", "SetDeadline", 1, "a refusal of a head"},
	{"transport/intake/refusal.go", "Conn.refuse", "Write", 1, "a refusal of a head"},
	{"transport/intake/refusal.go", "Port.answer", "Write", 1, "no end: into memory"},
	{"transport/intake/refusal.go", "recorder.Write", "Write", 1, "no end: into memory"},
	{"transport/front/connections.go", "connections.closeIdle", "Close", 1, "idle connections shortly before the end of the grace time"},
	{"transport/front/connections.go", "connections.sweep", "Close", 1, "an idle connection, headers that are late"},
	{"transport/front/connections.go", "endRead", "SetReadDeadline", 1, "a body that is awaited as the grace time ends, also a forwarded one: refused"},
	{"transport/front/directory.go", "Directory.ServeHTTP", "Encode", 1, "the addresses of daemons, asked for on connections of their own"},
	{"transport/front/front.go", "Front.Server", "MaxHeaderBytes", 1, "headers that are too large"},
	{"transport/front/ends.go", "Front.answerPanic", "recover", 1, "a defect before the head: answered with 500"},
	{"transport/front/ends.go", "Front.passPanic", "ErrAbortHandler", 1, "a defect after the head"},
	{"transport/front/ends.go", "Front.passPanic", "panic", 1, "a defect after the head"},
	{"transport/front/ends.go", "Front.passPanic", "recover", 1, "a defect after the head"},
	{"transport/front/bodies.go", "Front.answerAndSkipBody", "Flush", 1, "a refusal without the caller's body"},
	{"transport/front/front.go", "Front.serve", "WithCancelCause", 1, "a request that waits as the grace time ends: refused"},
	{"transport/front/bodies.go", "Front.readBody", "MaxBytesReader", 1, "a body that is too large"},
	{"transport/front/front.go", "Front.refuse", "Connection: close", 2, "a refusal without the caller's body, or within it"},
	{"transport/front/front.go", "Front.serve", "Connection: close", 1, "the daemon leaves; after a whole answer"},
	{"transport/front/front.go", "Front.writeReply", "Connection: close", 1, "the daemon leaves; after a whole answer"},
	{"transport/front/front.go", "Front.writeReply", "ErrAbortHandler", 3, "the answer is cut, or the caller has disconnected"},
	{"transport/front/front.go", "Front.writeReply", "Flush", 1, "a write to the caller fails"},
	{"transport/front/front.go", "Front.writeReply", "Write", 1, "a write to the caller fails"},
	{"transport/front/front.go", "Front.writeReply", "panic", 3, "the answer is cut, or the caller has disconnected"},
	{"transport/front/front.go", "writeError", "Encode", 1, "a write to the caller fails"},
	{"transport/peer/peer.go", "NewServer", "ReadHeaderTimeout", 1, "no caller: other daemons"},
	{"transport/peer/peer.go", "Pool.Close", "CloseIdleConnections", 1, "no caller: calls to other daemons"},
	{"transport/peer/peer.go", "countConn.Write", "Write", 1, "no caller: other daemons"},
	{"transport/routers/ends.go", "API.handlePanic", "ErrAbortHandler", 1, "a defect after the head"},
	{"transport/routers/ends.go", "API.handlePanic", "panic", 2, "a defect after the head"},
	{"transport/routers/ends.go", "API.handlePanic", "recover", 1, "a defect"},
	{"transport/routers/ends.go", "headWriter.Write", "Write", 1, "passes a write on"},
	{"transport/routers/reply.go", "API.writeAnswer", "Flush", 2, "a write to the caller fails"},
	{"transport/routers/reply.go", "API.writeAnswer", "SetWriteDeadline", 1, "a caller that does not read"},
	{"transport/routers/reply.go", "API.writeAnswer", "Write", 1, "a write to the caller fails"},
	{"transport/routers/reply.go", "abort", "ErrAbortHandler", 1, "the answer is cut"},
	{"transport/routers/reply.go", "abort", "Flush", 1, "the answer is cut"},
	{"transport/routers/reply.go", "abort", "Write", 1, "the answer is cut"},
	{"transport/routers/reply.go", "abort", "panic", 1, "the answer is cut"},
	{"transport/routers/reply.go", "writeJSON", "Encode", 1, "a write to the caller fails"},
	{"transport/routers/routers.go", "API.Server", "IdleTimeout", 1, "an idle connection"},
	{"transport/peer/peer.go", "NewServer", "MaxHeaderBytes", 1, "no caller: another daemon"},
	{"transport/routers/routers.go", "API.Server", "MaxHeaderBytes", 1, "headers that are too large"},
	{"transport/routers/routers.go", "API.Server", "ReadHeaderTimeout", 1, "headers that are late"},
	{"transport/routers/routers.go", "API.readBody", "Connection: close", 3, "a body that is late, broken off or without room"},
	{"transport/routers/routers.go", "API.readBody", "MaxBytesReader", 1, "a body that is too large"},
	{"transport/routers/routers.go", "API.readBody", "SetReadDeadline", 3, "a body that is late; what is read behind a refusal"},
	{"transport/routers/routers.go", "API.reconnect", "ErrAbortHandler", 1, "the caller has disconnected"},
	{"transport/routers/routers.go", "API.reconnect", "panic", 1, "the caller has disconnected"},
	{"transport/routers/routers.go", "API.serve", "ErrAbortHandler", 1, "the caller has disconnected"},
	{"transport/routers/routers.go", "API.serve", "panic", 1, "the caller has disconnected"},
	{"transport/routers/routers.go", "API.traceRequests", "Connection: close", 1, "the daemon leaves; after a whole answer"},
}

// endFolders are the folders of the product in which callers' connections and requests are handled.
var endFolders = []string{"cmd/primrosed", "core", "io", "services/daemon", "services/fleet", "transport", "coordination/dispatch", "coordination/entry"}

// endCalls lists the methods and functions that end a connection or a request, or may fail as one has
// ended.
var endCalls = []string{
	"Shutdown", "SetLinger", "Hijack", "SetDeadline", "SetReadDeadline", "SetWriteDeadline", "WithTimeout", "WithTimeoutCause",
	"WithDeadline", "WithDeadlineCause", "WithCancel", "WithCancelCause", "MaxBytesReader", "TimeoutHandler", "Exit", "Fatal",
}

// endWrites lists the methods that write to a caller in the packages that do.
var endWrites = []string{"Flush", "Write", "WriteString", "Encode", "ReadFrom"}

// endLimits lists the fields of an http.Server that close connections.
var endLimits = []string{"ReadTimeout", "WriteTimeout", "IdleTimeout", "ReadHeaderTimeout", "MaxHeaderBytes"}

// TestEndsOfConnectionsAreListed guards against a new way for a caller's connection to end without a whole
// answer that nobody has described, logged and counted.
func TestEndsOfConnectionsAreListed(t *testing.T) {
	var got []string
	for _, folder := range endFolders {
		assert.NilError(t, filepath.WalkDir(filepath.Join("../..", folder), func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			name, err := filepath.Rel("../..", path)
			if err != nil {
				return err
			}
			for _, d := range file.Decls {
				got = append(got, endsIn(filepath.ToSlash(name), d)...)
			}
			return nil
		}))
	}
	var want []string
	for _, s := range endSites {
		for range s.number {
			want = append(want, s.file+" "+s.function+" "+s.kind)
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	const hint = `A way for a caller's connection to end without a whole answer is new or gone: add it to, or remove it from, the
table "Ends of callers' connections" of docs/GUARANTEES.md (who decides it, what the caller sees, its log line, its
counter), and then the list endSites in io/logs/ends_test.go.`
	assert.Assert(t, slices.Equal(got, want), "%s\nnew: %q\ngone: %q", hint, without(got, want), without(want, got))
}

// without returns the elements of a that b has not, or not as often.
func without(a, b []string) []string {
	b = slices.Clone(b)
	var out []string
	for _, s := range a {
		if i := slices.Index(b, s); i >= 0 {
			b = slices.Delete(b, i, i+1)
			continue
		}
		out = append(out, s)
	}
	return out
}

// endsIn returns the sites in a declaration, each with its file, function and kind.
func endsIn(file string, d ast.Decl) []string {
	function := "-"
	if f, ok := d.(*ast.FuncDecl); ok {
		function = f.Name.Name
		if f.Recv != nil {
			function = receiver(f.Recv.List[0].Type) + "." + function
		}
	}
	var out []string
	ast.Inspect(d, func(n ast.Node) bool {
		if kind := endKind(file, n); kind != "" {
			out = append(out, fmt.Sprint(file, " ", function, " ", kind))
		}
		return true
	})
	return out
}

func receiver(e ast.Expr) string {
	if s, ok := e.(*ast.StarExpr); ok {
		e = s.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return "?"
}

// endKind returns how a node ends a connection or a request, or an empty string.
func endKind(file string, n ast.Node) string {
	switch n := n.(type) {
	case *ast.SelectorExpr:
		if n.Sel.Name == "ErrAbortHandler" {
			return n.Sel.Name
		}
	case *ast.KeyValueExpr:
		if id, ok := n.Key.(*ast.Ident); ok && slices.Contains(endLimits, id.Name) {
			return id.Name
		}
	case *ast.CallExpr:
		return endCall(file, n)
	}
	return ""
}

// endCall returns the name of a call that ends a connection or a request. Package dispatch has no
// connections of callers: what it closes are runners' answers.
func endCall(file string, call *ast.CallExpr) string {
	if id, ok := call.Fun.(*ast.Ident); ok && (id.Name == "panic" || id.Name == "recover") {
		return id.Name
	}
	s, ok := call.Fun.(*ast.SelectorExpr)
	switch {
	case !ok:
		return ""
	case s.Sel.Name == "Close" || s.Sel.Name == "CloseIdleConnections":
		if of, ok := s.X.(*ast.SelectorExpr); ok && of.Sel.Name == "Body" || strings.HasPrefix(file, "coordination/") {
			return ""
		}
		return s.Sel.Name
	case s.Sel.Name == "Set" && len(call.Args) == 2 && isText(call.Args[0], "Connection"):
		return "Connection: close"
	case slices.Contains(endCalls, s.Sel.Name), slices.Contains(endWrites, s.Sel.Name) && (strings.HasPrefix(file, "transport/") || strings.HasPrefix(file, "services/")):
		return s.Sel.Name
	}
	return ""
}

func isText(e ast.Expr, text string) bool {
	lit, ok := e.(*ast.BasicLit)
	return ok && lit.Value == `"`+text+`"`
}
