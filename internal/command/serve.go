package command

import (
	"context"
	"fmt"

	"go.uber.org/fx"

	"gentianstand/internal/instance"
	"gentianstand/internal/settings"
)

const serveUsage = `Runs an entry instance until it receives SIGTERM or SIGINT, and then stops
gracefully: it hands over its shards, refuses new requests and finishes those in
progress. Exit code 3 means that another process has replaced this instance.`

func serve(ctx context.Context, args []string, std Streams) int {
	var c instance.Settings
	s := settings.New("serve", serveUsage, std.Err)
	c.Register(s)
	if code, done := parse(s, args, std); done {
		return code
	}
	log := instance.NewLog(c.LogLevel, c.ID, std.Err)
	app := fx.New(instance.Module(c, log))
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(std.Err, err)
		return exitFailed
	}
	code := exitOK
	select {
	case <-ctx.Done():
	case signal := <-app.Wait():
		code = signal.ExitCode
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(std.Err, err)
		return exitFailed
	}
	return code
}
