// Package cellpeer lets instances find one another through the store and call
// one another about cells: a directory, a client and a twirp server.
package cellpeer
