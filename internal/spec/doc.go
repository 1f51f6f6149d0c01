// Package spec reads the one text that operators write: teams and their
// quotas, services, batch runs and jobs, and what each depends on.
//
// Parse reads YAML strictly and reports every mistake with its line, its
// column and what is allowed there. Nothing of a text with a mistake is used.
package spec
