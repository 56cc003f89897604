package router

import (
	"net/http"

	"github.com/bergamotdale/bergamotdale/explainer"
	"github.com/bergamotdale/bergamotdale/operator"
)

// operatorHandler serves the RPC interface of operators and the metrics.
func (r *Router) operatorHandler() http.Handler {
	fleetExplainer := &explainer.Explainer{
		Self:       r.self,
		Region:     r.Settings.Region,
		Viewer:     r.views,
		Dispatcher: r.dispatcher,
		Ready:      (&backend{r}).Ready,
		GroupLoad:  (&loads{r}).Mean,
	}
	server := &operator.Server{
		Router:        r.self.ID,
		Configuration: r.follower,
		Fleet:         fleetExplainer,
		Reporter:      fleetExplainer,
		Explainer:     fleetExplainer,
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
