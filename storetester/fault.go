package storetester

import "github.com/bergamotdale/bergamotdale"

// faults holds the injected faults. Store.mu guards it. lostResponses and
// lostRequests are the numbers of next writes to affect.
type faults struct {
	outage        bool
	lostResponses int
	lostRequests  int
}

// SetOutage starts or ends an outage. During an outage, every call has no effect
// and fails with ErrUnavailable, blocked watches included. Leases keep expiring on
// the clock.
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

// LoseRequests makes the next n writes return ErrAmbiguous without effect. RenewLease
// and RevokeLease are not affected.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostRequests = n
}

// respond returns err as the result of a write, or ErrAmbiguous if the response is
// to be lost.
func (s *Store) respond(err error) error {
	if s.lostResponses == 0 {
		return err
	}
	s.lostResponses--
	return bergamotdale.ErrAmbiguous
}

// takeLostRequest reports whether the request of the current write is to be lost.
func (s *Store) takeLostRequest() bool {
	if s.lostRequests == 0 {
		return false
	}
	s.lostRequests--
	return true
}
