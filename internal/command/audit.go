package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"gentianstand/internal/audit"
	"gentianstand/internal/settings"
)

const auditUsage = `Shows the audit trail: who changed what and when, oldest first.`

func showAudit(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("audit", auditUsage, std.Err)
	f.register(s)
	since := s.String("since", "", "`time` of the earliest entry, such as 2026-12-02T06:30:00Z; empty: the beginning")
	limit := s.Int("limit", 100, "maximum number of entries to show")
	s.Check("limit", "1 to 10000", func() bool { return *limit >= 1 && *limit <= 10_000 })
	if code, done := parse(s, args, std); done {
		return code
	}
	query := url.Values{"limit": {strconv.Itoa(*limit)}}
	if *since != "" {
		query.Set("since", *since)
	}
	var entries []audit.Entry
	err := f.client().Do(ctx, http.MethodGet, "/v1/audit", query, nil, nil, &entries)
	return f.finish(std, err, entries, func() { printAudit(std, entries) })
}

func printAudit(std Streams, entries []audit.Entry) {
	w := tabwriter.NewWriter(std.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tBY\tACTION\tSUBJECT\tFROM\tTO\tOUTCOME\tDETAIL")
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", e.At.Format(time.RFC3339), e.By, e.Action, e.Subject, e.From, e.To, e.Outcome, e.Detail)
	}
	_ = w.Flush()
}
