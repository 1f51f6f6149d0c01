// Package traffic counts the bytes and connections of an instance by what they are
// for, so that an operator sees what fills a small machine's link. The counters are
// served on the metrics address; Log writes them now and then.
package traffic
