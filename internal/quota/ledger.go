// Package quota tracks the resource usage of each workspace across all workers, in addition to
// the usage tracked per worker. It performs no I/O and no locking; callers must serialize
// access.
package quota

import (
	"gentianstand/internal/catalog"
	"gentianstand/internal/resource"
)

// Ledger holds the accounts of all workspaces.
type Ledger struct {
	// version is the version of the configuration that the caps come from.
	version uint64
	// totalWeight is the sum of the weights of all workspaces.
	totalWeight float64
	accounts    map[string]*Account
}

// NewLedger returns a ledger without accounts and without a configuration.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*Account{}} }

// Version returns the version of the configuration that the caps come from.
func (l *Ledger) Version() uint64 { return l.version }

// Account returns the account of a workspace and creates it if it does not exist.
func (l *Ledger) Account(workspace string) *Account {
	a := l.accounts[workspace]
	if a == nil {
		a = &Account{Workspace: workspace}
		l.accounts[workspace] = a
	}
	return a
}

// Accounts returns all accounts by workspace name. Callers must not modify the map.
func (l *Ledger) Accounts() map[string]*Account { return l.accounts }

// Configure applies the caps and weights of c if c is newer than the configuration in use. A
// workspace that c does not list has no cap, so that its accepted jobs can finish.
func (l *Ledger) Configure(c *catalog.Catalog) {
	if c == nil || c.Version <= l.version {
		return
	}
	l.version = c.Version
	for _, a := range l.accounts {
		a.Cap, a.Weight = resource.Amount{}, 0
	}
	l.totalWeight = c.TotalWeight()
	for _, w := range c.Workspaces() {
		a := l.Account(w.Name)
		a.Cap, a.Weight = w.Cap, w.Weight
	}
}

// PartOf returns the part (0 to 1) of the capacity that is a workspace's by its weight.
func (l *Ledger) PartOf(a *Account) float64 { return a.Weight / max(a.Weight, l.totalWeight) }
