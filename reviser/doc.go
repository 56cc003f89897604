// Package reviser commits new revisions of the operators' configuration to the
// store.
//
// The key config/head holds a Head: the number of the revision, the hash of each
// section and the history of the last revisions. The content of a section is
// stored under its hash, at config/section/<sha256>, and never changes. A
// revision is accepted once the compare-and-swap of the head took effect. If the
// response is lost, the writer finds this out from the nonce in the head.
package reviser
