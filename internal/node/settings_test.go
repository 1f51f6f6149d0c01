package node

import (
	"strings"
	"testing"
	"time"
)

func TestSettingsAreCheckedAllTogether(t *testing.T) {
	good := Settings{Name: "edge-1", CallerListen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2", PeerListen: "127.0.0.1:3",
		MetricsListen: "127.0.0.1:4", Store: "127.0.0.1:5", MaxLease: time.Second}
	if err := good.Validate(); err != nil {
		t.Errorf("good settings: %v", err)
	}
	bad := good
	bad.Name, bad.Store, bad.PeerAdvertise, bad.MaxLease = "", "nowhere", "127.0.0.1", 0
	err := bad.Validate()
	if err == nil {
		t.Fatal("no error for bad settings")
	}
	for _, part := range []string{"name of the instance", "address of the store", "address advertised to instances", "longest lease"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not in: %v", part, err)
		}
	}
}
