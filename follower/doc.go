// Package follower keeps the configuration that a router serves up to date with
// the store. Operators change the configuration as a whole; each change is a
// revision with a number. Package reviser commits new revisions and defines how
// they are stored: a head, which lists the sections of the document by hash,
// and one store key for each section.
//
// A Follower long-polls the head and fetches the sections that it does not
// have. The revision in force is the one that the router serves. A Follower
// never goes back to a lower revision. During an outage of the store it keeps
// the revision in force and asks other routers, its peers, for higher ones. At
// startup it takes the highest revision that the store or the peers it asks
// have.
package follower
