package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"gentianstand/internal/live"
	"gentianstand/internal/settings"
)

const drainUsage = `Drains a worker or an instance before a planned stop: it gets no new work, its tasks
move or finish, and requests in progress are answered. -resume cancels the drain of
a worker; a drained instance has to be replaced.`

func drain(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("drain", drainUsage, std.Err)
	f.register(s)
	id := s.String("id", "", "ID of a worker or an instance")
	resume := s.Bool("resume", false, "cancel the drain of a worker")
	s.Check("id", "the id of a worker or an instance", func() bool { return *id != "" })
	if code, done := parse(s, args, std); done {
		return code
	}
	method, word := http.MethodPost, "draining"
	if *resume {
		method, word = http.MethodDelete, "resumed"
	}
	var result live.Drain
	err := f.client().Do(ctx, method, "/v1/drains/"+url.PathEscape(*id), nil, nil, nil, &result)
	return f.finish(std, err, result, func() { fmt.Fprintf(std.Out, "%s: %s\n", *id, word) })
}
