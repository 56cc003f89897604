// Package pinner remembers at which software version each stream began, so that it
// goes on only there.
//
// What two versions of a service write of one stream does not fit together, and
// endpoints do not check it. A stream that is cut may be taken up at any router, first
// time or again, also after the router that began it has ended. So, while a service has
// several versions, a router stores the pin of each stream at two others before the
// client gets its first event. They are chosen by rendezvous hashing of the stream's ID,
// so a router that takes a stream up finds them with one round of messages. A service
// with one version costs no message: when a second one appears, each router stores the
// pins of its own recent streams.
//
// While a service has several versions, the streams are recorded in the store too (see
// package chronicler), so that they go on after all routers were lost.
//
// A stream without a pin goes on only if the store shows that no other version can have
// begun it, or, if the store cannot tell, if this router and at least one other one have
// seen a single version for as long as a stream lasts. Else it is refused.
//
// Table, History and Order hold the data and decide; they do no I/O. Pinner sends and
// receives the messages.
package pinner
