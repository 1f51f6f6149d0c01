// Package cellleader decides which instance owns a cell. The owner is named in
// one row of the store; its term is the fencing token of all its orders, so a
// wrong take-over costs calls and never correctness. The others ping the owner
// and take over when it is silent, when it no longer reaches the store while
// they do, or when it says that it is stopping. An owner acts only while
// somebody confirmed its ownership lately.
package cellleader
