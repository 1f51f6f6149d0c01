package command

import (
	"context"
	"fmt"
	"net/http"

	"gentianstand/internal/entry"
	"gentianstand/internal/settings"
)

const planUsage = `Validates a text and shows what applying it would change, without changing anything.`

func plan(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("plan", planUsage, std.Err)
	f.register(s)
	file := s.String("file", "-", "`file` with the text; - for standard input")
	if code, done := parse(s, args, std); done {
		return code
	}
	text, err := readFile(*file, std)
	if err != nil {
		return f.fail(std, err)
	}
	var result entry.PlanResult
	err = f.client().Do(ctx, http.MethodPost, "/v1/plan", nil, nil, text, &result)
	return f.finish(std, err, result, func() { printPlan(std, result) })
}

func printPlan(std Streams, result entry.PlanResult) {
	fmt.Fprintf(std.Out, "against configuration %d:\n", result.Base)
	if len(result.Changes) == 0 {
		fmt.Fprintln(std.Out, "  nothing that runs would change")
	}
	for _, change := range result.Changes {
		fmt.Fprintf(std.Out, "  %s\n", change)
	}
	printWarnings(std, result.Warnings)
	fmt.Fprint(std.Out, result.Diff)
}
