// Package quota keeps the books of what workspaces have running on all workers together,
// beside those of what each worker runs. It is pure; its owner locks it.
package quota

import (
	"gentianstand/internal/catalog"
	"gentianstand/internal/resource"
)

// Ledger holds the accounts of all workspaces.
type Ledger struct {
	// version is that of the configuration that the caps are from.
	version  uint64
	accounts map[string]*Account
}

// NewLedger returns a ledger that knows no configuration yet.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*Account{}} }

// Version returns the version of the configuration in use.
func (l *Ledger) Version() uint64 { return l.version }

// Account returns the account of a workspace.
func (l *Ledger) Account(workspace string) *Account {
	a := l.accounts[workspace]
	if a == nil {
		a = &Account{Workspace: workspace}
		l.accounts[workspace] = a
	}
	return a
}

// Accounts returns all accounts by the names of their workspaces. The map must not be
// changed.
func (l *Ledger) Accounts() map[string]*Account { return l.accounts }

// Configure takes the caps from a newer configuration. A workspace that it does not name has
// no cap: jobs that were accepted from it go on.
func (l *Ledger) Configure(c *catalog.Catalog) {
	if c == nil || c.Version <= l.version {
		return
	}
	l.version = c.Version
	for _, a := range l.accounts {
		a.Cap, a.Weight = resource.Amount{}, 0
	}
	for _, w := range c.Workspaces() {
		a := l.Account(w.Name)
		a.Cap, a.Weight = w.Cap, w.Weight
	}
}
