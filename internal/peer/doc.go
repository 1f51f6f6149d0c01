// Package peer implements the protocol between entry instances: Twirp calls
// with deadlines, periodic heartbeats with the state of each instance, and the
// conversion between messages and the types of other packages.
package peer
