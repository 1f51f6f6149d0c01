// Package spec parses the configuration text of operators. The text declares teams and their
// quotas, services, batch runs and jobs, and the dependencies between them.
//
// Parse reads YAML strictly and reports every mistake with its line, its column and what is
// allowed there. A text with a mistake is rejected as a whole.
package spec
