package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"primroseward/coordination/watch"
	"primroseward/core"
	"primroseward/platform"
)

// soundEntry is the entry of a runner.
const soundEntry = `{"service":"s","address":"127.0.0.1:80","zone":"z","slots":4,"state":"ready","sequence":1}`

// entryAnswer serves a list or a watch of a sound entry on each side of another one.
func entryAnswer(entry string) http.HandlerFunc {
	item := func(name string, revision int, spec string) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"finalizers":[]},"spec":%s}`, name, revision, spec)
	}
	items := []string{item("r1", 3, soundEntry), item("odd", 5, entry), item("r2", 4, soundEntry)}
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/odd"):
			fmt.Fprint(w, items[1])
		case r.URL.Query().Has(platform.QueryWatch):
			fmt.Fprintf(w, `{"events":[{"removed":false,"object":%s}],"current_rev":9}`, strings.Join(items, `},{"removed":false,"object":`))
		default:
			fmt.Fprintf(w, `{"items":[%s],"has_more":false,"current_rev":9}`, strings.Join(items, ","))
		}
	}
}

// TestOddEntriesHideNoOthers guards against one entry of another writer among those of the runners, which is
// nested deeply, has numbers that are too large or a port out of range, and keeps daemons that read the list, watch it or
// get it from another daemon from following the other entries.
func TestOddEntriesHideNoOthers(t *testing.T) {
	type odd struct{ name, entry string }
	all := []odd{
		{"a number too large", strings.Replace(soundEntry, `"slots":4`, `"slots":1e400`, 1)},
		{"slots too large", strings.Replace(soundEntry, `"slots":4`, `"slots":9223372036854775807`, 1)},
		{"slots beyond an integer", strings.Replace(soundEntry, `"slots":4`, `"slots":9223372036854775808`, 1)},
		{"a sequence too large", strings.Replace(soundEntry, `"sequence":1`, `"sequence":18446744073709551616`, 1)},
		{"a number of many digits", strings.Replace(soundEntry, `"slots":4`, `"slots":4`+strings.Repeat("0", 5000), 1)},
		{"an exponent of many digits", strings.Replace(soundEntry, `"slots":4`, `"slots":4e`+strings.Repeat("9", 5000), 1)},
		{"a port out of range", strings.Replace(soundEntry, `:80"`, `:65536"`, 1)},
		{"a port of many digits", strings.Replace(soundEntry, `:80"`, `:`+strings.Repeat("8", 300)+`"`, 1)},
		{"a negative port", strings.Replace(soundEntry, `:80"`, `:-1"`, 1)},
		{"port 0", strings.Replace(soundEntry, `:80"`, `:0"`, 1)},
	}
	// The decoder bears a depth of 10,000, the spec of an item is at one of three or four.
	for _, depth := range []int{9_900, 9_990, 9_994, 9_995, 9_996, 9_997, 9_998, 9_999, 10_000, 10_001, 10_002, 100_000} {
		deep := strings.Repeat("[", depth) + strings.Repeat("]", depth)
		nested := strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
		all = append(all, odd{fmt.Sprint("lists nested ", depth), deep}, odd{fmt.Sprint("objects nested ", depth), nested},
			odd{fmt.Sprint("a field nested ", depth), strings.Replace(soundEntry, `"slots":4`, `"slots":4,"x":`+deep, 1)})
	}
	for _, tt := range all {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(entryAnswer(tt.entry))
			defer srv.Close()
			c := platform.New(netip.MustParseAddrPort(srv.Listener.Addr().String()), clockwork.NewRealClock())
			objects, version, err := c.List(t.Context(), platform.KindRunners)
			assert.NilError(t, err)
			assert.Equal(t, version, uint64(9))
			checkEntries(t, objects)
			ctx, cancel := context.WithCancel(t.Context())
			var watched []core.Object
			_ = c.Watch(ctx, platform.KindRunners, 1, func(e core.Event) {
				if e.Object.Name == "" {
					cancel()
					return
				}
				watched = append(watched, e.Object)
			})
			cancel()
			checkEntries(t, watched)
			for _, from := range [][]core.Object{objects, watched} {
				data, err := (&snapshotCache{}).get(platform.KindRunners, 0, watch.Snapshot{Version: 9, Objects: from})
				assert.NilError(t, err)
				got, err := decodeSnapshot(data)
				assert.NilError(t, err)
				checkEntries(t, got.Objects)
			}
			o, err := c.Get(t.Context(), platform.KindRunners, "odd")
			if err == nil {
				checkOdd(t, o)
			}
		})
	}
}

// checkEntries checks that the sound entries are there, and that the odd one names no runner that differs from
// them.
func checkEntries(t *testing.T, objects []core.Object) {
	t.Helper()
	var names []string
	for _, o := range objects {
		names = append(names, o.Name)
		if o.Name == "odd" {
			checkOdd(t, o)
			continue
		}
		_, err := platform.ReadRunner(o.Name, o.Body)
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, names, []string{"r1", "odd", "r2"})
}

// checkOdd checks that an odd entry names no runner, or one like the sound ones.
func checkOdd(t *testing.T, o core.Object) {
	t.Helper()
	r, err := platform.ReadRunner(o.Name, o.Body)
	if err != nil {
		assert.ErrorIs(t, err, core.ErrInvalid)
		return
	}
	assert.Equal(t, r.Slots, 4)
	assert.Equal(t, r.Addr.Port(), uint16(80))
}
