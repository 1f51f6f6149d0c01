// Package cellleader elects the instance that owns a cell. One row of the store names the owner.
// Its term is the fencing token of all its orders, so an unnecessary takeover fails some calls
// but never affects correctness. The other instances ping the owner. They take over if it is
// unresponsive, if it cannot reach the store while they can, or if it announces that it is
// stopping. An owner acts only while its ownership was confirmed recently.
package cellleader
