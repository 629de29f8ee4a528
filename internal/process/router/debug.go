package router

import (
	"net/http"

	"github.com/galenalatch/galenalatch"
)

// debugHandler blocks the link to another router, or unblocks it without
// blocked=true: PUT /debug/links/{router}?blocked=true. Tests use it for network
// partitions between routers that can still reach the platform.
func (r *Router) debugHandler(authorize func(*http.Request) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if err := authorize(q); err != nil {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		r.mesh.SetPartitioned(galenalatch.RouterID(q.PathValue("router")), q.FormValue("blocked") == "true")
		w.WriteHeader(http.StatusNoContent)
	})
}
