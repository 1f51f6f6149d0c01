package platform

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with every write to the table; 0 means that the row does not
	// exist.
	Version uint64 `json:"version"`
	// Tx is the id of the transaction that wrote the row.
	Tx string `json:"tx"`
}
