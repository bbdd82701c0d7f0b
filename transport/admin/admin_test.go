package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Without a token check, anybody who can reach the admin listener could edit the settings. The
// health checks need no token.
func TestTokenIsRequired(t *testing.T) {
	a := &Admin{Token: "secret", Metrics: http.NotFoundHandler(), Ready: func() bool { return false }}
	cases := []struct {
		path, token string
		want        int
	}{
		{"/admin/tree?path=/", "", http.StatusUnauthorized},
		{"/admin/status", "Bearer wrong", http.StatusUnauthorized},
		{"/admin/nothing", "Bearer secret", http.StatusNotFound},
		{"/healthz", "", http.StatusOK},
		{"/readyz", "", http.StatusServiceUnavailable},
	}
	for _, tt := range cases {
		r := httptest.NewRequest(http.MethodGet, tt.path, nil)
		r.Header.Set("Authorization", tt.token)
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, r)
		assert.Equal(t, w.Code, tt.want, tt.path)
	}
}

// Without a token in the settings file the API must refuse edits. Otherwise anybody who can
// reach the metrics could edit the settings.
func TestReadOnly(t *testing.T) {
	a := &Admin{ReadOnly: true, Metrics: http.NotFoundHandler(), Ready: func() bool { return true }}
	for _, method := range []string{http.MethodPut, http.MethodPost, http.MethodDelete} {
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(method, "/admin/tree?path=/", nil))
		assert.Equal(t, w.Code, http.StatusForbidden, method)
	}
	w := httptest.NewRecorder()
	a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/admin/nothing", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}
