// Package faults lets tests and users set over HTTP which faults a stand-in injects.
package faults

import (
	"encoding/json"
	"net/http"
)

// Handler returns a handler that decodes faults from a JSON body and passes them to set.
func Handler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
	}
}
