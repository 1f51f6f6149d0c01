// Package platform simulates the platform's table, object store and instance list for tests
// and for development. It keeps all data in memory and can inject faults.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"gentianstand/internal/platform"
)

// Store holds the state of the stand-in. It implements the interfaces of package platform
// without faults; FaultyStore adds them.
type Store struct {
	mu        sync.Mutex
	version   uint64
	rows      map[string]platform.Row
	keys      []string
	objects   map[string][]byte
	instances map[string]platform.Instance
	counts    Counts
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:      map[string]platform.Row{},
		objects:   map[string][]byte{},
		instances: map[string]platform.Instance{},
	}
}

// Get implements platform.Table.
func (s *Store) Get(_ context.Context, key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	row, ok := s.rows[key]
	if !ok {
		return platform.Row{Key: key}, nil
	}
	return row, nil
}

// Scan implements platform.Table.
func (s *Store) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	from := max(prefix, after)
	rows := []platform.Row{}
	for i := sort.SearchStrings(s.keys, from); i < len(s.keys) && len(rows) < limit; i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key != after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

// Commit implements platform.Table.
func (s *Store) Commit(_ context.Context, tx platform.Tx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	for _, check := range tx.Checks {
		if s.rows[check.Key].Version != check.Version {
			return platform.ErrConflict
		}
	}
	s.version++
	for _, put := range tx.Puts {
		s.put(platform.Row{Key: put.Key, Value: put.Value, Version: s.version, Tx: tx.ID})
	}
	for _, key := range tx.Deletes {
		s.remove(key)
	}
	s.counts.Rows += int64(len(tx.Puts) + len(tx.Deletes))
	return nil
}

// PutObject implements platform.Objects.
func (s *Store) PutObject(_ context.Context, key string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = data
	return nil
}

// GetObject implements platform.Objects.
func (s *Store) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], nil
}

// Instances implements platform.Directory.
func (s *Store) Instances(context.Context) ([]platform.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]platform.Instance, 0, len(s.instances))
	for _, inst := range s.instances {
		list = append(list, inst)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}

// SetInstance adds or replaces an entry of the instance list.
func (s *Store) SetInstance(inst platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[inst.ID] = inst
}

// RemoveInstance removes an entry of the instance list.
func (s *Store) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// Counts returns the usage counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) put(row platform.Row) {
	if _, ok := s.rows[row.Key]; !ok {
		i := sort.SearchStrings(s.keys, row.Key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = row.Key
	}
	s.rows[row.Key] = row
}

func (s *Store) remove(key string) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	delete(s.rows, key)
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:i], s.keys[i+1:]...)
}
