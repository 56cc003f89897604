package subscriber_test

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// inDomain returns the entry of an endpoint of the failure domain.
func inDomain(t *testing.T, id, domain string) bergamotdale.Entry {
	return endpointEntry(t, id, bergamotdale.EndpointRecord{Incarnation: 7, Sequence: 4, FailureDomain: domain})
}

func evacuate(name, value string) bergamotdale.Entry {
	return bergamotdale.Entry{Key: "op/evacuate/" + name, Value: []byte(value), Version: 9}
}

func evacuated(name string) bergamotdale.Change {
	return bergamotdale.Change{Entry: evacuate(name, "{}")}
}

func admitted(name string) bergamotdale.Change {
	return bergamotdale.Change{Entry: bergamotdale.Entry{Key: "op/evacuate/" + name}, Deleted: true}
}

// Guards against work for endpoints of a failure domain that the operators have evacuated,
// also for those that register afterwards, and against endpoints that get none once the key
// is removed. Writing a key again changes nothing, and one removal ends the evacuation.
func TestEvacuation(t *testing.T) {
	r := newRestoredStore(t, inDomain(t, "a", "z1"), inDomain(t, "b", "z2"))
	r.check("a b")
	r.change(evacuated("z1"))
	r.check("b")
	r.change(bergamotdale.Change{Entry: inDomain(t, "c", "z1")}, bergamotdale.Change{Entry: inDomain(t, "d", "z2")})
	r.change(evacuated("z1"))
	r.check("b d")
	r.change(admitted("z1"))
	r.check("a b c d")
	r.change(evacuated("z1"), evacuated("z2"))
	r.check("")
	r.change(admitted("z1"), evacuated("z1"), admitted("z2"))
	r.check("b d")
}

// Guards against a router that starts after the key was written and does not know it, and
// against endpoints that stay out of use because a removal was in the part of the history
// that the store has dropped.
func TestFullReadDecidesEvacuations(t *testing.T) {
	r := newRestoredStore(t, inDomain(t, "a", "z1"), inDomain(t, "b", "z2"), evacuate("z1", "{}"))
	r.check("b")
	r.answer(r.position.Revision, answer{err: bergamotdale.ErrCompacted})
	r.answer(0, answer{batch: bergamotdale.Batch{Era: 1, Revision: 60, Entries: []bergamotdale.Entry{
		inDomain(t, "a", "z1"), inDomain(t, "b", "z2"), evacuate("z2", "{}"),
	}}})
	r.position.Revision = 60
	r.check("a")
}

// Guards against an evacuation that ends because the store does not respond.
func TestEvacuationOutlivesAnOutage(t *testing.T) {
	r := newRestoredStore(t, inDomain(t, "a", "z1"), inDomain(t, "b", "z2"), evacuate("z1", "{}"))
	r.answer(r.position.Revision, answer{err: errors.Trace(bergamotdale.ErrUnavailable)})
	r.clock.lead.Store(int64(time.Hour))
	r.check("b")
}

// Guards against an evacuation that is missed because another program wrote its value, and
// against a key without a usable name that evacuates anything or stops the router.
func TestEvacuationKeysOfOtherWriters(t *testing.T) {
	r := newRestoredStore(t, inDomain(t, "a", "z1"), inDomain(t, "b", "z2"), evacuate("z1", "\xff{not JSON"))
	r.check("b")
	for _, name := range []string{"", "z2/rack", "z2 ", "z\x00", "\xff"} {
		r.change(evacuated(name))
		r.check("b")
		r.change(admitted(name))
		r.check("b")
	}
}

// Guards against work for an evacuated domain because the store was restored from a copy
// made before the key was written, before the operators can write it again, and against an
// evacuation that never ends when they do not.
func TestEvacuationOutlivesARestore(t *testing.T) {
	a, b := inDomain(t, "a", "z1"), inDomain(t, "b", "z2")
	r := newRestoredStore(t, a, b)
	r.change(evacuated("z1"))
	r.restore(a, b)
	r.check("b")
	r.clock.lead.Store(int64(subscriber.DoubtPeriod - time.Second))
	r.check("b")
	r.clock.lead.Store(int64(subscriber.DoubtPeriod))
	r.check("a b")
	// One that is in the copy takes effect at once, also if it had ended since.
	r.restore(a, b, evacuate("z2", "{}"))
	r.check("a")
	r.clock.lead.Store(int64(time.Hour))
	r.check("a")
}

// Guards against an evacuation that ends 10 s after a restore although the operators have
// written it again, and against one that lasts although they have removed it after that.
func TestEvacuationIsWrittenAgainAfterARestore(t *testing.T) {
	a, b := inDomain(t, "a", "z1"), inDomain(t, "b", "z2")
	r := newRestoredStore(t, a, b, evacuate("z1", "{}"))
	r.restore(a, b)
	// A full read of the same era says nothing new about a key that the copy lacks.
	r.answer(r.position.Revision, answer{err: bergamotdale.ErrCompacted})
	r.answer(0, answer{batch: bergamotdale.Batch{Era: 2, Revision: 40, Entries: []bergamotdale.Entry{a, b}}})
	r.position.Revision = 40
	r.check("b")
	r.change(evacuated("z1"))
	r.clock.lead.Store(int64(time.Minute))
	r.check("b")
	r.change(admitted("z1"))
	r.check("a b")
}
