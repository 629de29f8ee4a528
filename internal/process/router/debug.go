package router

import (
	"net/http"

	"github.com/galenalatch/galenalatch"
)

// debugHandler cuts and restores the link with another router, so that tests
// can part routers that the platform still reaches:
// PUT /debug/links/{router}?blocked=true.
func (r *Router) debugHandler(authorize func(*http.Request) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if err := authorize(q); err != nil {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		r.mesh.Block(galenalatch.RouterID(q.PathValue("router")), q.FormValue("blocked") == "true")
		w.WriteHeader(http.StatusNoContent)
	})
}
