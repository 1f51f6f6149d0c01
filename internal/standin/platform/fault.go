package platform

import "time"

// Fault is what the stand-in does wrong at the moment.
type Fault struct {
	// TableDown and ObjectsDown make every call fail.
	TableDown   bool `json:"table_down"`
	ObjectsDown bool `json:"objects_down"`
	// Delay is added to every call, in milliseconds.
	DelayMillis int64 `json:"delay_millis"`
	// LoseAnswers is how many of the next writes take effect although their
	// answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// Cut lists clients whose calls fail while others work.
	Cut []string `json:"cut"`
	// FreezeList keeps the instance list as it is now.
	FreezeList bool `json:"freeze_list"`
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMillis) * time.Millisecond
}
