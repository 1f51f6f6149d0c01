package platform

import "time"

// Fault describes the faults that are injected into the stand-in.
type Fault struct {
	// TableDown and ObjectsDown make every call to the table or the object store fail.
	TableDown   bool `json:"table_down"`
	ObjectsDown bool `json:"objects_down"`
	// DelayMillis is the latency added to every call, in milliseconds.
	DelayMillis int64 `json:"delay_millis"`
	// LoseAnswers is the number of next writes that take effect but whose responses are
	// lost.
	LoseAnswers int `json:"lose_answers"`
	// Cut lists the clients that are partitioned from the platform: their calls fail, those
	// of others succeed.
	Cut []string `json:"cut"`
	// FreezeList stops updates of the instance list.
	FreezeList bool `json:"freeze_list"`
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
