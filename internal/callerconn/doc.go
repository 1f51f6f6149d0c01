// Package callerconn applies the limits of package callerlimit to an HTTP server. A Guard wraps the
// listener of the server; handlers call Serve before they do any work, and read bodies with ReadBody or
// StreamBody. These reject a request with an error of a defined kind, and make sure that neither its
// response nor its connection waits for a body that may never end.
package callerconn
