package fake

import (
	"encoding/json"
	"io"
	"net/http"

	"firwood.dev/firwood/wire"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Write(b) //nolint:errcheck // the peer may be gone
}

func readJSON(r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	return err == nil && json.Unmarshal(b, v) == nil
}

// writeUnavailable answers with 503, as a service does that cannot serve the request now.
func writeUnavailable(w http.ResponseWriter) {
	writeJSON(w, 503, wire.ErrorResponse{Error: "trouble"})
}
