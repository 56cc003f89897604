package recorder

import (
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// DefaultLimit is the maximum number of events in a page unless the filter sets
// another, and MaxLimit is the largest that it may set.
const (
	DefaultLimit = 1000
	MaxLimit     = DefaultCapacity
)

// Filter selects events; every field that is set must match.
type Filter struct {
	RequestID string
	Chat      string
	Endpoint  string
	// Since and Until bound the time of events, both inclusive.
	Since time.Time
	Until time.Time
	// Limit bounds the number of events; zero means DefaultLimit.
	Limit int
}

// Match reports whether the event has all values that the filter sets. It does
// not apply the limit.
func (f Filter) Match(e *bergamotdale.Event) bool {
	return (f.RequestID == "" || f.RequestID == e.RequestID) &&
		(f.Chat == "" || f.Chat == e.Chat) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint) &&
		(f.Since.IsZero() || !e.Time.Before(f.Since)) &&
		(f.Until.IsZero() || !e.Time.After(f.Until))
}

func (f Filter) limit() int {
	if f.Limit > 0 {
		return min(f.Limit, MaxLimit)
	}
	return DefaultLimit
}

// Query returns the filter as URL parameters, which ParseQuery reads.
func (f Filter) Query() url.Values {
	q := url.Values{}
	set := func(key, value string) {
		if value != "" {
			q.Set(key, value)
		}
	}
	set("request", f.RequestID)
	set("chat", f.Chat)
	set("endpoint", f.Endpoint)
	set("since", formatTime(f.Since))
	set("until", formatTime(f.Until))
	if f.Limit > 0 {
		set("limit", strconv.Itoa(f.Limit))
	}
	return q
}

// ParseQuery returns the filter in the URL parameters. Unknown and repeated
// parameters are errors, so that a misspelled one does not widen the selection.
func ParseQuery(q url.Values) (Filter, error) {
	var f Filter
	for key, values := range q {
		if len(values) != 1 {
			return Filter{}, errors.NotValidf("%d values for the single-valued parameter %s", len(values), key)
		}
		if err := f.setParameter(key, values[0]); err != nil {
			return Filter{}, errors.Annotatef(err, "parameter %s", key)
		}
	}
	return f, nil
}

func (f *Filter) setParameter(key, value string) (err error) {
	switch key {
	case "request":
		f.RequestID = value
	case "chat":
		f.Chat = value
	case "endpoint":
		f.Endpoint = value
	case "since":
		f.Since, err = time.Parse(time.RFC3339Nano, value)
	case "until":
		f.Until, err = time.Parse(time.RFC3339Nano, value)
	case "limit":
		f.Limit, err = strconv.Atoi(value)
		if err == nil && (f.Limit < 1 || f.Limit > MaxLimit) {
			err = errors.NotValidf("limit %d (allowed: 1 to %d)", f.Limit, MaxLimit)
		}
	default:
		err = errors.NotValidf("parameter name")
	}
	return err
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
