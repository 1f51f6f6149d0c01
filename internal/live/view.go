package live

import (
	"encoding/json"
	"fmt"
	"strings"

	"gentianstand/internal/platform"
)

// View is the content of all watched rows at the time of one read.
type View struct {
	Instances map[string]Instance
	Shards    map[string]Shard
	Drains    map[string]Drain
	Config    ConfigHead
}

// Parse decodes the rows of one scan into a View. It fails if any row cannot be decoded: a View
// with incomplete ownership is worse than a wait for the next read.
func Parse(rows []platform.Row) (View, error) {
	v := View{Instances: map[string]Instance{}, Shards: map[string]Shard{}, Drains: map[string]Drain{}}
	for _, row := range rows {
		if err := v.add(row); err != nil {
			return View{}, fmt.Errorf("row %s: %w", row.Key, err)
		}
	}
	return v, nil
}

func (v *View) add(row platform.Row) error {
	switch {
	case row.Key == ConfigKey:
		v.Config.Version = row.Version
		return json.Unmarshal(row.Value, &v.Config)
	case strings.HasPrefix(row.Key, instancePrefix):
		inst := Instance{Version: row.Version}
		err := json.Unmarshal(row.Value, &inst)
		v.Instances[inst.Process.Instance] = inst
		return err
	case strings.HasPrefix(row.Key, shardPrefix):
		shard := Shard{Version: row.Version}
		err := json.Unmarshal(row.Value, &shard)
		v.Shards[shard.Name] = shard
		return err
	case strings.HasPrefix(row.Key, drainPrefix):
		var drain Drain
		err := json.Unmarshal(row.Value, &drain)
		v.Drains[drain.ID] = drain
		return err
	}
	return nil
}
