package router

import (
	"context"
	"net/http"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/aggregator"
	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/forwarder"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/operator"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/peerserver"
	"github.com/bergamotdale/bergamotdale/quoter"
	"github.com/bergamotdale/bergamotdale/recorder"
	"github.com/bergamotdale/bergamotdale/sharder"
)

// peerHandler serves the requests of other routers.
func (r *Router) peerHandler() http.Handler {
	mux := http.NewServeMux()
	api := peerserver.New(mux)
	limit := int64(r.Settings.Limits.PeerBody)
	peerserver.Handle(api, limit, gossiper.PingPath, func(_ context.Context, m gossiper.PingRequest) (gossiper.PingResponse, error) {
		return r.gossiper.HandlePing(m), nil
	})
	peerserver.Handle(api, limit, gossiper.IndirectPath, func(ctx context.Context, m gossiper.IndirectRequest) (gossiper.IndirectResponse, error) {
		return r.gossiper.HandleIndirect(ctx, m), nil
	})
	peerserver.Handle(api, limit, elector.HandoverPath, func(ctx context.Context, m elector.HandoverRequest) (elector.HandoverResponse, error) {
		return r.elector.HandleHandover(ctx, m), nil
	})
	peerserver.Handle(api, limit, elector.ClaimNoticePath, func(_ context.Context, m elector.ClaimNotice) (elector.ClaimNoticeResponse, error) {
		return r.elector.HandleClaimNotice(m), nil
	})
	peerserver.Handle(api, limit, aggregator.LoadPath, func(_ context.Context, m aggregator.LoadRequest) (aggregator.LoadResponse, error) {
		return r.loads.HandleLoad(m), nil
	})
	peerserver.Handle(api, limit, quoter.Path, func(_ context.Context, m quoter.Request) (quoter.Response, error) {
		return r.quotas.Handle(m), nil
	})
	peerserver.Handle(api, limit, "config", r.follower.HandleConfig)
	peerserver.Handle(api, limit, "status", func(ctx context.Context, m follower.StatusRequest) (follower.Status, error) {
		return r.follower.HandleStatus(ctx, m)
	})
	peerserver.Handle(api, limit, "commit", r.handleCommit)
	peerserver.Handle(api, limit, remainingPath, r.handleRemaining)
	mux.HandleFunc("POST "+peerclient.BasePath+"forward", r.handleForward)
	if ring, ok := r.recorder.(*recorder.Ring); ok {
		mux.Handle("GET "+operator.EventsPath, ring.Handler())
	}
	return mux
}

// handleCommit executes a service call that is not idempotent and whose shard
// this router owns.
func (r *Router) handleCommit(ctx context.Context, c bergamotdale.ServiceCall) (forwarder.CommitResponse, error) {
	response, err := r.shards.Execute(ctx, c)
	if err != nil {
		return forwarder.CommitResponse{}, r.redirect(err, sharder.NameForCall(c))
	}
	return forwarder.CommitResponse{Response: response}, nil
}

// redirect returns the error as a refusal. If its code is CodeNotOwner and
// another router is known to own the name, it adds that owner.
func (r *Router) redirect(err error, name string) error {
	refusal := bergamotdale.AsRefusal(err)
	if refusal.Code != bergamotdale.CodeNotOwner {
		return refusal
	}
	if o, ok := r.elector.Owner(name); ok && o.Owner != r.self.ID {
		return refusal.WithRedirect(bergamotdale.Redirect{Owner: o.Owner, Epoch: o.Epoch})
	}
	return refusal
}

// handleForward queues a completion that another router forwards and streams
// its frames. It does not use huma: a stream of frames needs a flush after each
// line, and a refusal has to be the response itself until the first frame is
// sent.
func (r *Router) handleForward(w http.ResponseWriter, req *http.Request) {
	var c bergamotdale.Completion
	if err := decodeJSON(http.MaxBytesReader(w, req.Body, int64(r.Settings.Limits.PeerBody)), &c); err != nil {
		peerclient.WriteRefusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "the request body is not a valid completion request").WithCause(err), "")
		return
	}
	stream, err := r.dispatcher.Dispatch(req.Context(), c)
	if err != nil {
		peerclient.WriteRefusal(w, bergamotdale.AsRefusal(r.redirect(err, c.Endpoint)), c.StreamID())
		return
	}
	defer stream.Close()
	copyStream(peerclient.NewFrameWriter(w), stream, c)
}

// copyStream sends frames until the stream ends. The heartbeat at the start
// tells the entry router that the request is queued.
func copyStream(w *peerclient.FrameWriter, stream bergamotdale.FrameStream, c bergamotdale.Completion) {
	err := w.Write(bergamotdale.Frame{RequestID: c.StreamID(), Kind: bergamotdale.FrameHeartbeat, Offset: c.ResumeFrom})
	for err == nil {
		var frame bergamotdale.Frame
		if frame, err = stream.Next(); err == nil {
			err = w.Write(frame)
		}
	}
}
