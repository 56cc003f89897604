// Package follower keeps the operators' configuration of a router in step with
// the store, and commits new revisions.
//
// The key config/head holds a Head: the revision, the hash of each section and
// the history of the last revisions. Sections are kept under their hashes in
// config/section/<sha256> and never change. A revision is accepted once the
// compare-and-swap of the head took effect; the nonce in the head tells its
// writer so when the response is lost.
//
// A Follower long-polls the head and fetches the sections that it does not
// have. It never goes back to a lower revision, keeps the last revision through
// an outage of the store, and then asks other routers for newer ones. At the
// start it takes the highest revision that the store and its peers know.
package follower
