package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotdale/bergamotdale"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/recorder"
)

// EventsPath is the HTTP path on a router's peer listener that returns the events
// of that router.
const EventsPath = "/peer/v1/events"

const (
	// dialTimeout limits the probe of one router address.
	dialTimeout = 2 * time.Second
	// eventsTimeout limits the request for the events of one router.
	eventsTimeout = 5 * time.Second
	// maxEventsBytes limits the events response of one router: 16,384 events of
	// 1 KB.
	maxEventsBytes = 16 << 20
)

// Client calls the operator API of one router.
type Client struct {
	pb.OperatorServiceClient
	// Address is the host:port of the router's operator listener.
	Address string
	http    *http.Client
}

// Dial returns a client of the first router that responds. The addresses are the
// host:port of operator listeners and are tried in order.
func Dial(ctx context.Context, addresses []string) (*Client, error) {
	client := &http.Client{}
	var lastErr error
	for _, address := range addresses {
		c := &Client{pb.NewOperatorServiceClient(client, "http://"+address), address, client}
		if lastErr = c.probe(ctx); lastErr == nil {
			return c, nil
		}
	}
	if lastErr == nil {
		return nil, errors.New("no router address was given")
	}
	return nil, errors.Annotatef(lastErr, "none of the %d routers responded", len(addresses))
}

// probe checks that the router responds. It requests the history, because the
// router answers that without the store or other routers.
func (c *Client) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	_, err := c.History(ctx, connect.NewRequest(&pb.HistoryRequest{}))
	return err
}

// Timeline holds the events of all routers of a fleet, merged by time.
type Timeline struct {
	Events []bergamotdale.Event `json:"events"`
	// Routers has one entry for each queried router, sorted by router ID.
	Routers []RouterEvents `json:"routers"`
}

// RouterEvents describes the response of one router to an events request.
type RouterEvents struct {
	Router      string `json:"router"`
	Address     string `json:"address"`
	Events      int    `json:"events"`
	Overwritten uint64 `json:"overwritten"`
	Truncated   bool   `json:"truncated,omitempty"`
	// Error is the reason why the events could not be read, or empty.
	Error string `json:"error,omitempty"`
}

// Timeline reads and merges the events of every member that the connected router
// lists. Members marked dead are included, because they may still respond.
func (c *Client) Timeline(ctx context.Context, filter recorder.Filter) (*Timeline, error) {
	status, err := c.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	members := status.Msg.Members
	slices.SortFunc(members, func(a, b *pb.MemberStatus) int {
		return strings.Compare(a.Router, b.Router)
	})
	pages := make([][]bergamotdale.Event, len(members))
	timeline := &Timeline{Routers: make([]RouterEvents, len(members))}
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, m := range members {
		group.Go(func() error {
			page, err := c.fetchEvents(ctx, m.Address, filter)
			timeline.Routers[i] = newRouterEvents(m, page, err)
			pages[i] = page.Events
			return nil
		})
	}
	_ = group.Wait()
	timeline.Events = recorder.Merge(pages...)
	return timeline, nil
}

// newRouterEvents summarizes the events page, or the error, of one member.
func newRouterEvents(member *pb.MemberStatus, page recorder.Page, err error) RouterEvents {
	summary := RouterEvents{
		Router: member.Router, Address: member.Address, Events: len(page.Events),
		Overwritten: page.Overwritten, Truncated: page.Truncated,
	}
	if err != nil {
		summary.Error = err.Error()
	}
	return summary
}

// fetchEvents reads the events of the router whose peer listener has the address.
func (c *Client) fetchEvents(ctx context.Context, address string, filter recorder.Filter) (recorder.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	url := "http://" + address + EventsPath + "?" + filter.Query().Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return recorder.Page{}, errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return recorder.Page{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return recorder.Page{}, errors.Errorf("unexpected HTTP status %s", response.Status)
	}
	var page recorder.Page
	err = json.NewDecoder(io.LimitReader(response.Body, maxEventsBytes)).Decode(&page)
	return page, errors.Annotate(err, "events")
}
