// Package cellpb is generated from cell.proto: the messages and the twirp
// client and server of the protocol about cells between instances.
package cellpb

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. cell.proto
