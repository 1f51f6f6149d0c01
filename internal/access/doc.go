// Package access decides which calls are served: whether a queue matches the call, and whether
// the API key of the call gives access to that queue.
//
// A revoked key must be refused even by an instance that has lost contact with the store. A
// Gate therefore serves calls with keys only while its view of the catalog was confirmed
// recently. If neither the store nor another instance confirms the view, the Gate refuses such
// calls with a temporary error.
package access
