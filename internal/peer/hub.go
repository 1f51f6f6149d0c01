package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/config"
	"gentianstand/internal/live"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer/peerpb"
	"gentianstand/internal/platform"
	"gentianstand/internal/routing"
)

// Intervals and timeouts of calls between instances.
const (
	beatPeriod  = 2 * time.Second
	callTimeout = time.Second
	// beatTTL is the age from which a heartbeat no longer counts.
	beatTTL = 3 * beatPeriod
	// avoidFor is how long requests avoid an instance that failed.
	avoidFor = 2 * time.Second
)

// Hub tracks the other instances. It learns of them from the table, from the
// platform's list, and from their heartbeats, which also work while the table
// is unavailable. It is safe for concurrent use.
type Hub struct {
	id     ownership.Identity
	state  func() State
	config *config.Current
	client *http.Client
	log    *logrus.Entry
	beats  *metrics.Counter
	// onNewConfig is called when a peer has a later configuration than this
	// instance.
	onNewConfig func()

	mu      sync.RWMutex
	remotes map[string]*Remote
	listed  map[string]string
}

// NewHub returns a Hub without known instances. state returns the state sent to
// other instances; onNewConfig is called when another instance has a later
// configuration.
func NewHub(id ownership.Identity, state func() State, c *config.Current, set *metrics.Set, onNewConfig func(), log *logrus.Entry) *Hub {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 8
	return &Hub{
		id: id, state: state, config: c, onNewConfig: onNewConfig, log: log,
		client:  &http.Client{Transport: transport},
		beats:   set.NewCounter("gentianstand_peer_beats_total"),
		remotes: map[string]*Remote{}, listed: map[string]string{},
	}
}

// Run exchanges heartbeats until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		h.beatAll(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// SetView adds the instances that the table names.
func (h *Hub) SetView(view live.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, inst := range view.Instances {
		if id == h.id.Process.Instance {
			continue
		}
		r, ok := h.remotes[id]
		if !ok || r.Process != inst.Process {
			h.remotes[id] = &Remote{Process: inst.Process, Address: inst.Address, PeerAddress: inst.PeerAddress, Region: inst.Region, Zone: inst.Zone}
		}
	}
}

// SetDirectory sets the entry instances that the platform lists.
func (h *Hub) SetDirectory(list []platform.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = map[string]string{}
	for _, inst := range list {
		if inst.Role == platform.RoleEntry && inst.ID != h.id.Process.Instance {
			h.listed[inst.ID] = inst.Address
		}
	}
}

// beatAll exchanges heartbeats with all instances in parallel.
func (h *Hub) beatAll(ctx context.Context) {
	msg := h.message()
	var wg sync.WaitGroup
	for _, address := range h.addresses() {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reply, err := h.clientFor(address).Beat(callCtx, msg)
			h.beats.Inc()
			if err == nil {
				h.recordBeat(reply, time.Now())
			}
		})
	}
	wg.Wait()
}

func (h *Hub) addresses() map[string]string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	all := map[string]string{}
	for id, address := range h.listed {
		all[id] = address
	}
	for id, r := range h.remotes {
		all[id] = r.PeerAddress
	}
	return all
}

func (h *Hub) clientFor(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, h.client)
}

func (h *Hub) message() *peerpb.BeatMessage {
	s := h.state()
	msg := &peerpb.BeatMessage{
		From: processToMessage(h.id.Process), Address: h.id.Address, PeerAddress: h.id.PeerAddress,
		Region: h.id.Region, Zone: h.id.Zone, ConfigNumber: s.ConfigNumber, Stopping: s.Stopping,
		TableSilenceMillis: s.SilenceMillis,
	}
	for name, epoch := range s.Shards {
		msg.Shards = append(msg.Shards, &peerpb.ShardHeld{Shard: name, Epoch: epoch})
	}
	for name, slots := range s.Slots {
		msg.Slots = append(msg.Slots, &peerpb.ServiceSlots{Service: name, Free: int32(slots.Free), Total: int32(slots.Total)})
	}
	return msg
}

// recordBeat records a heartbeat.
func (h *Hub) recordBeat(msg *peerpb.BeatMessage, now time.Time) {
	from := processFromMessage(msg.GetFrom())
	if from.Instance == "" || from.Instance == h.id.Process.Instance {
		return
	}
	r := &Remote{
		Process: from, Address: msg.GetAddress(), PeerAddress: msg.GetPeerAddress(),
		Region: msg.GetRegion(), Zone: msg.GetZone(), ConfigNumber: msg.GetConfigNumber(),
		Stopping: msg.GetStopping(), LastBeatAt: now, Shards: map[string]uint64{}, Slots: map[string]routing.Slots{},
	}
	for _, s := range msg.GetShards() {
		r.Shards[s.GetShard()] = s.GetEpoch()
	}
	for _, s := range msg.GetSlots() {
		r.Slots[s.GetService()] = routing.Slots{Free: int(s.GetFree()), Total: int(s.GetTotal())}
	}
	h.mu.Lock()
	h.remotes[from.Instance] = r
	h.mu.Unlock()
	if r.ConfigNumber > h.config.Number() {
		h.onNewConfig()
	}
}

// Remotes returns all other instances with a recent heartbeat.
func (h *Hub) Remotes() []Remote {
	now := time.Now()
	h.mu.RLock()
	defer h.mu.RUnlock()
	var list []Remote
	for _, r := range h.remotes {
		if now.Sub(r.LastBeatAt) < beatTTL {
			list = append(list, *r)
		}
	}
	return list
}

// Choose returns an instance that is expected to have a free slot of the
// service, or otherwise any with slots, and counts one slot as used. It returns
// ok = false if there is none. skip holds the instances that were already
// tried.
func (h *Hub) Choose(service string, skip map[string]bool) (remote Remote, free, ok bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *Remote
	for id, r := range h.remotes {
		if skip[id] || r.Stopping || now.Sub(r.LastBeatAt) >= beatTTL || now.Sub(r.failedAt) < avoidFor || r.Slots[service].Total == 0 {
			continue
		}
		if best == nil || better(r.Slots[service], best.Slots[service]) {
			best = r
		}
	}
	if best == nil {
		return Remote{}, false, false
	}
	slots := best.Slots[service]
	free = slots.Free > 0
	slots.Free--
	best.Slots[service] = slots
	return *best, free, true
}

func better(a, b routing.Slots) bool {
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.Total > b.Total
}

// MarkFailed records that a request could not reach an instance.
func (h *Hub) MarkFailed(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r, ok := h.remotes[instance]; ok {
		r.failedAt = time.Now()
	}
}

// Remote returns the last known state of an instance.
func (h *Hub) Remote(instance string) (Remote, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	r, ok := h.remotes[instance]
	if !ok {
		return Remote{}, false
	}
	return *r, true
}

// Reachable reports whether an instance has sent or answered a heartbeat
// recently.
func (h *Hub) Reachable(instance string) bool {
	r, ok := h.Remote(instance)
	return ok && time.Since(r.LastBeatAt) < beatTTL
}

// Holder returns the instance that claims to hold a shard under the highest
// known epoch.
func (h *Hub) Holder(shard string) (instance string, epoch uint64) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for id, r := range h.remotes {
		if e := r.Shards[shard]; e > epoch {
			instance, epoch = id, e
		}
	}
	return instance, epoch
}

// FetchConfig returns the latest configuration of any instance, if it is later
// than number.
func (h *Hub) FetchConfig(ctx context.Context, number uint64) (config.Record, bool) {
	var rec config.Record
	var best Remote
	for _, r := range h.Remotes() {
		if r.ConfigNumber > max(number, best.ConfigNumber) {
			best = r
		}
	}
	if best.PeerAddress == "" {
		return rec, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.clientFor(best.PeerAddress).Config(ctx, &peerpb.ConfigRequest{})
	if err != nil || len(reply.GetRecord()) == 0 {
		return rec, false
	}
	if err := json.Unmarshal(reply.GetRecord(), &rec); err != nil {
		return rec, false
	}
	return rec, rec.Number > number
}
