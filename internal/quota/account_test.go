package quota

import (
	"testing"

	"gentianstand/internal/catalog"
	"gentianstand/internal/resource"
)

func TestStartable(t *testing.T) {
	limit := resource.Amount{MilliCPU: 10000, MemoryMiB: 1000}
	one := resource.Amount{MilliCPU: 1000, MemoryMiB: 300}
	for _, test := range []struct {
		name    string
		account Account
		need    resource.Amount
		most    int
		want    int
	}{
		{"no cap", Account{Used: resource.Amount{MilliCPU: 1 << 40}}, one, 7, 7},
		{"memory is the limit", Account{Cap: limit}, one, 7, 3},
		{"some is used", Account{Cap: limit, Used: one}, one, 7, 2},
		{"some may run unconfirmed", Account{Cap: limit, Unconfirmed: one.Times(3)}, one, 7, 0},
		{"used and unconfirmed", Account{Cap: limit, Used: one, Unconfirmed: one}, one, 7, 1},
		{"fewer are wanted", Account{Cap: limit}, one, 2, 2},
		{"the cap was lowered below what runs", Account{Cap: limit, Used: one.Times(9)}, one, 7, 0},
		{"accelerators without a limit", Account{Cap: limit}, resource.Amount{Accelerators: 50}, 7, 7},
		{"larger than the cap, nothing runs", Account{Cap: limit}, resource.Amount{MemoryMiB: 1001}, 7, 1},
		{"larger than the cap, something runs", Account{Cap: limit, Used: one}, resource.Amount{MemoryMiB: 1001}, 7, 0},
		{"larger than the cap, something may run", Account{Cap: limit, Unconfirmed: one}, resource.Amount{MemoryMiB: 1001}, 7, 0},
		{"none is wanted", Account{Cap: limit}, one, 0, 0},
	} {
		if got := test.account.Startable(test.need, test.most); got != test.want {
			t.Errorf("%s: %d tasks may start, want %d", test.name, got, test.want)
		}
	}
}

// An older configuration must not override the caps of a newer one, and the cap of a removed
// workspace must not block its remaining jobs.
func TestLedgerTakesTheNewestCaps(t *testing.T) {
	l := NewLedger()
	config := func(version uint64, workspaces ...catalog.Workspace) *catalog.Catalog {
		return catalog.New(catalog.Content{Version: version, Workspaces: workspaces})
	}
	capped := func(n int64) catalog.Workspace {
		return catalog.Workspace{Name: "north", Cap: resource.Amount{MilliCPU: n}}
	}
	for _, test := range []struct {
		catalog *catalog.Catalog
		want    int64
	}{
		{nil, 0}, {config(2, capped(5)), 5}, {config(1, capped(9)), 5}, {config(3, capped(4)), 4}, {config(4), 0}, {config(5, capped(6)), 6},
	} {
		l.Configure(test.catalog)
		if got := l.Account("north").Cap.MilliCPU; got != test.want {
			t.Errorf("cap %d under version %d, want %d", got, l.Version(), test.want)
		}
	}
}
