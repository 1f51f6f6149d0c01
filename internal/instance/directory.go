package instance

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/ownership"
	"gentianstand/internal/platform"

	"gentianstand/internal/live"
)

// directoryPeriod is how often the platform's list is read.
const directoryPeriod = time.Second

// directory caches the platform's list of instances. While the platform cannot be reached, the
// last list remains available.
type directory struct {
	source platform.Directory
	log    *logrus.Entry

	mu   sync.Mutex
	list []platform.Instance
}

func (d *directory) run(ctx context.Context, changed func([]platform.Instance)) {
	ticker := time.NewTicker(directoryPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.read(ctx, changed)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (d *directory) read(ctx context.Context, changed func([]platform.Instance)) {
	list, err := d.source.Instances(ctx)
	if err != nil {
		d.log.WithError(err).Debug("instance_list_unreadable")
		return
	}
	d.mu.Lock()
	d.list = list
	d.mu.Unlock()
	changed(list)
}

func (d *directory) instances() []platform.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// places returns the shards that need an owner: the planner shard, and one shard for each rack
// with a worker.
func (d *directory) places() []ownership.ShardLocation {
	seen := map[string]bool{}
	places := []ownership.ShardLocation{{Name: live.PlannerShard}}
	for _, inst := range d.instances() {
		if inst.Role == platform.RoleWorker && !seen[inst.Rack] {
			seen[inst.Rack] = true
			places = append(places, ownership.ShardLocation{Name: inst.Rack, Region: inst.Region, Zone: inst.Zone})
		}
	}
	slices.SortFunc(places, func(a, b ownership.ShardLocation) int { return strings.Compare(a.Name, b.Name) })
	return places
}
