// Package cellpeer implements the calls between instances about cells: a directory through
// which instances find one another in the store, clients, and a twirp server.
package cellpeer
