package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"gentianstand/internal/instance"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

const (
	region      = "dev"
	zones       = 3
	workerSlots = 8
)

// System is a running system of a platform, instances and workers.
type System struct {
	// Platform is the URL of the simulated platform. Instances are the addresses for callers
	// and operators.
	Platform  string
	Instances []string
	Record    *standworker.Record

	settings    Settings
	faultyStore *standplatform.FaultyStore
	store       *standplatform.Store
	apps        []*fx.App
	servers     []*http.Server
	workers     []*standworker.Worker
}

// Start starts a system. The caller must stop the returned system even if Start fails.
func Start(ctx context.Context, s Settings, log io.Writer) (*System, error) {
	sys := &System{settings: s, Record: &standworker.Record{}, store: standplatform.NewStore()}
	sys.faultyStore = standplatform.NewFaultyStore(sys.store)
	address, err := sys.serve(standplatform.NewServer(sys.store, sys.faultyStore).Handler())
	if err != nil {
		return sys, err
	}
	sys.Platform = "http://" + address
	for n := range s.Workers {
		if err := sys.startWorker(n); err != nil {
			return sys, err
		}
	}
	for n := range s.Instances {
		if err := sys.startInstance(ctx, n, log); err != nil {
			return sys, err
		}
	}
	return sys, nil
}

// WorkerFaults injects the fault into all workers.
func (s *System) WorkerFaults(f standworker.Fault) {
	for _, w := range s.workers {
		w.SetFault(f)
	}
}

// Stop stops the instances gracefully, and then the platform and the workers.
func (s *System) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for _, app := range s.apps {
		wg.Go(func() { _ = app.Stop(ctx) })
	}
	wg.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *System) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("loopback port: %w", err)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *System) startWorker(n int) error {
	id := fmt.Sprintf("worker-%02d", n)
	cfg := standworker.Config{
		ID: id, Slots: workerSlots, Work: time.Second, Serve: 5 * time.Millisecond,
		Capacity: resource.Amount{MilliCPU: 16_000, MemoryMiB: 32 << 10},
	}
	w := standworker.New(cfg, s.Record, time.Now)
	s.workers = append(s.workers, w)
	address, err := s.serve(standworker.NewServer(w, s.Record).Handler())
	if err != nil {
		return err
	}
	rack := n / s.settings.WorkersPerRack
	s.store.SetInstance(platform.Instance{
		ID: id, Role: platform.RoleWorker, Address: address, Region: region,
		Zone: fmt.Sprintf("zone-%d", rack%zones), Rack: fmt.Sprintf("rack-%d", rack),
	})
	return nil
}

func (s *System) startInstance(ctx context.Context, n int, log io.Writer) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	c := instance.Settings{
		ID: fmt.Sprintf("entry-%d", n), Listen: ports[0], PeerListen: ports[1],
		Region: region, Zone: fmt.Sprintf("zone-%d", n%zones),
		Platform: s.Platform, PlatformTimeout: time.Second, LogLevel: s.settings.LogLevel, StopTimeout: 10 * time.Second,
		OperatorToken: s.settings.OperatorToken,
	}
	app := fx.New(instance.Module(c, instance.NewLog(c.LogLevel, c.ID, log)))
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("instance %s: %w", c.ID, err)
	}
	s.apps = append(s.apps, app)
	s.Instances = append(s.Instances, c.Listen)
	s.store.SetInstance(platform.Instance{ID: c.ID, Role: platform.RoleEntry, Address: c.PeerListen, Region: region, Zone: c.Zone})
	return nil
}

// freePorts returns n loopback addresses that are currently unused.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("loopback port: %w", err)
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
