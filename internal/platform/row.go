package platform

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with every write to the table; 0 means no such row.
	Version uint64 `json:"version"`
	// Tx is the id of the transaction that wrote this row.
	Tx string `json:"tx"`
}
