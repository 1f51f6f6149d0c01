// Package access decides which calls of callers are served: whether there is such a queue,
// and whether the key that a call carries opens it.
//
// A key that was taken away must stop working although an instance has lost touch with the
// store. So a Gate serves keyed calls only while its view of the configuration was confirmed
// lately, and refuses them for now when neither the store nor another instance confirms it.
package access
