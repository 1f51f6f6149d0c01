// Package peer is the protocol between entry instances: twirp calls with
// deadlines, the periodic exchange of what each should know of the others, and
// the translation between messages and the types of other packages.
package peer
