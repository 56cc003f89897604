// Package reviser commits new revisions of the operators' configuration to the
// store.
//
// The key config/head holds a Head: the revision, the hash of each section and
// the history of the last revisions. Sections are kept under their hashes in
// config/section/<sha256> and never change. A revision is accepted once the
// compare-and-swap of the head took effect; the nonce in the head tells its
// writer so when the response is lost.
package reviser
