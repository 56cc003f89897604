// Package peerclient sends messages between routers. A message is an HTTP POST
// request with a JSON body to a path below /peer/v1/. The response is a JSON value
// or a stream of JSON lines with one frame per line.
//
// The client reports whether a failed call was executed. The outcome is not-run
// only if no byte of the request was written to any connection, or if the peer
// reported it in a refusal. In all other cases it is unknown. A caller can
// therefore retry a not-run call without executing it twice.
//
// Servers write their responses with WriteJSON, WriteRefusal and FrameWriter.
package peerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// BasePath is the prefix of the URL paths of all messages between routers.
const BasePath = "/peer/v1/"

const (
	// maxResponseHeaderBytes limits the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// DefaultDialTimeout limits the time to open a connection.
	DefaultDialTimeout = time.Second
	// DefaultSilenceTimeout is the time without any frame after which a stream is
	// considered broken. The peer sends a heartbeat every second.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultCallTimeout limits calls whose context has no deadline.
	DefaultCallTimeout = 10 * time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	DefaultIdleTimeout = 30 * time.Second
	// DefaultMaxIdle limits the idle connections to all peers. One probe per second
	// to a random member would otherwise keep a connection to every member of a
	// large fleet.
	DefaultMaxIdle = 64
	// DefaultMaxIdlePerPeer limits the idle connections to one address.
	DefaultMaxIdlePerPeer = 4
	// MaxResponseBytes limits the body of a response and each line of a stream.
	MaxResponseBytes = 4 << 20
)

// Client implements bergamotdale.Peer over HTTP. New sets the exported fields to
// their defaults. They may be changed before the first call only.
type Client struct {
	DialTimeout    time.Duration
	SilenceTimeout time.Duration
	CallTimeout    time.Duration
	IdleTimeout    time.Duration
	MaxIdle        int
	MaxIdlePerPeer int

	transport func() *http.Transport
	registry  *connRegistry
	sent      atomic.Int64
	received  atomic.Int64
}

var _ bergamotdale.Peer = (*Client)(nil)

// New returns a client with the default settings.
func New() *Client {
	c := &Client{
		DialTimeout:    DefaultDialTimeout,
		SilenceTimeout: DefaultSilenceTimeout,
		CallTimeout:    DefaultCallTimeout,
		IdleTimeout:    DefaultIdleTimeout,
		MaxIdle:        DefaultMaxIdle,
		MaxIdlePerPeer: DefaultMaxIdlePerPeer,
		registry:       newConnRegistry(),
	}
	c.transport = sync.OnceValue(func() *http.Transport {
		return &http.Transport{
			DialContext:         c.dial,
			MaxIdleConns:        c.MaxIdle,
			MaxIdleConnsPerHost: c.MaxIdlePerPeer,
			IdleConnTimeout:     c.IdleTimeout,
			DisableCompression:  true,
			// The default of 10 MB is more than a small VM can spare.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}
	})
	return c
}

// Bytes returns the number of bytes written to and read from all connections,
// including HTTP headers.
func (c *Client) Bytes() (sent, received int64) {
	return c.sent.Load(), c.received.Load()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport().CloseIdleConnections()
}

// dial opens a connection and adds it to the registry.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.DialTimeout}
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.registry.add(raw, address, &c.sent, &c.received), nil
}

// Call implements bergamotdale.Peer.
func (c *Client) Call(ctx context.Context, address, path string, request, response any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.CallTimeout)
		defer cancel()
	}
	resp, err := c.post(ctx, address, path, request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		c.registry.dropAfterTimeout(address, err)
		return lostResponse(address, path, err)
	}
	if len(body) > MaxResponseBytes {
		return lostResponse(address, path, errors.Errorf("response is longer than %d bytes", MaxResponseBytes))
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(address, path, resp.StatusCode, body)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return lostResponse(address, path, errors.Annotate(err, "decoding the response"))
	}
	return nil
}

// post sends the request and returns the response once its headers have arrived.
// Its errors are of type *bergamotdale.Refusal.
func (c *Client) post(ctx context.Context, address, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInternal, "encoding the request of message %s", path).WithCause(err)
	}
	conns := &requestConns{registry: c.registry}
	url := "http://" + address + BasePath + path
	req, err := http.NewRequestWithContext(conns.withTrace(ctx), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodePeer, "invalid peer address %s", address).WithCause(err)
	}
	// Package peerserver takes a body without a content type for JSON. An empty value keeps net/http from sending its own.
	req.Header.Set("User-Agent", "")
	resp, err := c.transport().RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if conns.confirmUnsent() {
		return nil, bergamotdale.Refuse(bergamotdale.CodePeer, "message %s to %s was not sent", path, address).WithCause(err)
	}
	c.registry.dropAfterTimeout(address, err)
	return nil, lostResponse(address, path, err)
}

// lostResponse returns the refusal for a call whose response did not arrive or
// could not be read. Its outcome is unknown.
func lostResponse(address, path string, err error) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodePeer, "response to %s from %s was lost", path, address).
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}
