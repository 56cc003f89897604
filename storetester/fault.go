package storetester

import "github.com/bergamotdale/bergamotdale"

// faults is the state of the injected faults; the store's lock guards it.
type faults struct {
	outage        bool
	lostResponses int
	lostRequests  int
}

// SetOutage starts or ends an outage. During an outage every call fails with
// ErrUnavailable, blocked watches included, and has no effect. Leases keep
// expiring on the clock.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notify()
}

// LoseResponses makes the next n writes take effect and return ErrAmbiguous.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostResponses = n
}

// LoseRequests makes the next n writes return ErrAmbiguous without effect.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostRequests = n
}

// respond returns err, or ErrAmbiguous where the response of the write is lost.
func (s *Store) respond(err error) error {
	if s.lostResponses == 0 {
		return err
	}
	s.lostResponses--
	return bergamotdale.ErrAmbiguous
}

func (s *Store) takeLostRequest() bool {
	if s.lostRequests == 0 {
		return false
	}
	s.lostRequests--
	return true
}
