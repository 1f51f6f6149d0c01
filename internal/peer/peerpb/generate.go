// Package peerpb is generated from peer.proto: the messages and the twirp
// client and server of the protocol between entry instances.
package peerpb

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto
