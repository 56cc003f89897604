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

// EventsPath is the path of the timeline on the peer listener of a router.
const EventsPath = "/peer/v1/events"

const (
	// dialTimeout bounds the search for a router that responds.
	dialTimeout = 2 * time.Second
	// eventsTimeout bounds the question for the events of one router.
	eventsTimeout = 5 * time.Second
	// maxEventsBytes bounds the events of one router: 16,384 events of 1 KB.
	maxEventsBytes = 16 << 20
)

// Client is a connection to the operators' listener of one router.
type Client struct {
	pb.OperatorServiceClient
	// Address is the router in use.
	Address string
	http    *http.Client
}

// Dial returns a client of the first address whose router responds. Addresses
// are host:port of operators' listeners.
func Dial(ctx context.Context, addresses []string) (*Client, error) {
	client := &http.Client{}
	var last error
	for _, address := range addresses {
		c := &Client{pb.NewOperatorServiceClient(client, "http://"+address), address, client}
		if last = c.probe(ctx); last == nil {
			return c, nil
		}
	}
	if last == nil {
		return nil, errors.New("no router address is given")
	}
	return nil, errors.Annotatef(last, "none of %d routers responds", len(addresses))
}

// probe asks for the history, which needs neither the store nor other routers.
func (c *Client) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	_, err := c.History(ctx, connect.NewRequest(&pb.HistoryRequest{}))
	return err
}

// Timeline is the merged timeline of a fleet.
type Timeline struct {
	Events []bergamotdale.Event `json:"events"`
	// Routers has one entry for each router that was asked, by name.
	Routers []RouterEvents `json:"routers"`
}

// RouterEvents describes what one router contributed.
type RouterEvents struct {
	Router      string `json:"router"`
	Address     string `json:"address"`
	Events      int    `json:"events"`
	Overwritten uint64 `json:"overwritten"`
	Truncated   bool   `json:"truncated,omitempty"`
	// Error says why the router did not respond.
	Error string `json:"error,omitempty"`
}

// Timeline asks every router that the connected one knows, gone ones included,
// because a router that is believed dead may respond.
func (c *Client) Timeline(ctx context.Context, f recorder.Filter) (*Timeline, error) {
	status, err := c.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	members := status.Msg.Members
	slices.SortFunc(members, func(a, b *pb.MemberStatus) int {
		return strings.Compare(a.Router, b.Router)
	})
	pages := make([][]bergamotdale.Event, len(members))
	t := &Timeline{Routers: make([]RouterEvents, len(members))}
	var group errgroup.Group
	group.SetLimit(askConcurrency)
	for i, m := range members {
		group.Go(func() error {
			page, err := c.events(ctx, m.Address, f)
			t.Routers[i] = describe(m, page, err)
			pages[i] = page.Events
			return nil
		})
	}
	_ = group.Wait()
	t.Events = recorder.Merge(pages...)
	return t, nil
}

func describe(m *pb.MemberStatus, p recorder.Page, err error) RouterEvents {
	r := RouterEvents{
		Router: m.Router, Address: m.Address, Events: len(p.Events),
		Overwritten: p.Overwritten, Truncated: p.Truncated,
	}
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

func (c *Client) events(ctx context.Context, address string, f recorder.Filter) (recorder.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	url := "http://" + address + EventsPath + "?" + f.Query().Encode()
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
		return recorder.Page{}, errors.Errorf("status %s", response.Status)
	}
	var page recorder.Page
	err = json.NewDecoder(io.LimitReader(response.Body, maxEventsBytes)).Decode(&page)
	return page, errors.Annotate(err, "events")
}
