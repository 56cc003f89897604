// Package follower keeps the operators' configuration of a router in step with
// the store. Package reviser commits new revisions and defines their form.
//
// A Follower long-polls the head and fetches the sections that it does not
// have. It never goes back to a lower revision, keeps the last revision through
// an outage of the store, and then asks other routers for newer ones. At the
// start it takes the highest revision that the store and its peers know.
package follower
