package router

import (
	"net/http"

	"github.com/bergamotdale/bergamotdale/explainer"
	"github.com/bergamotdale/bergamotdale/operator"
)

// operatorHandler serves operators: the RPC and the metrics.
func (r *Router) operatorHandler() http.Handler {
	answers := &explainer.Explainer{
		Self:       r.self,
		Region:     r.Settings.Region,
		Viewer:     r.views,
		Dispatcher: r.dispatch,
		Ready:      (&backend{r}).Ready,
		GroupLoad:  (&loads{r}).Mean,
	}
	server := &operator.Server{
		Router:        r.self.ID,
		Configuration: r.follower,
		Fleet:         answers,
		Reporter:      answers,
		Explainer:     answers,
		Peer:          r.peer,
		Clock:         r.clock,
		DrainDeadline: r.Settings.DrainDeadline,
		MaxBytes:      r.Settings.Limits.Configuration,
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	mux.Handle("GET /metrics", r.meter.Handler())
	return mux
}
