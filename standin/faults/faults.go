// Package faults lets a test or a person change over HTTP what a stand-in does
// wrong.
package faults

import (
	"encoding/json"
	"net/http"
)

// Handler reads a fault setting as JSON and hands it to set.
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
