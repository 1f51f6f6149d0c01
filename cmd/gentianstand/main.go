// Command gentianstand runs the scheduler and provides the commands for its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gentianstand/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
