// Package traffic counts the bytes and connections of an instance by purpose, so that an
// operator can see what saturates the link of a small machine. The counters are served on the
// metrics address, and Log writes them periodically.
package traffic
