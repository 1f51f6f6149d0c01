package cell

// KnownWorker is a worker on which runs may be.
type KnownWorker struct {
	ID      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}
