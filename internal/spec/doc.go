// Package spec parses the configuration text that operators write: teams and their
// quotas, services, batch runs and jobs, and what each depends on.
//
// Parse reads YAML strictly and reports every mistake with its line, its
// column and the allowed values. A text with a mistake is rejected as a whole.
package spec
