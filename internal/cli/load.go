package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/load"
)

// runLoad puts a local system under a plan's load.
func runLoad(arguments []string, streams Streams) (int, error) {
	options, err := parseLoad(arguments, streams.Err)
	if err != nil {
		return exitUsage, err
	}
	plan, err := load.ReadPlan(options.plan)
	if err != nil {
		return exitUsage, errors.WithMessage(errUsage, err.Error())
	}
	if options.seconds > 0 {
		plan.Duration = time.Duration(options.seconds * float64(time.Second))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := load.Run(ctx, load.Config{
		Plan: plan,
		Seed: options.seed,
		Mode: gate.Mode(options.mode),
		Log:  logr.Discard(),
	})
	if err != nil {
		return exitFailed, err
	}
	if options.plot != "" {
		if err := result.Plot(options.plot); err != nil {
			return exitFailed, err
		}
	}
	if options.json {
		return exitDone, result.WriteJSON(streams.Out)
	}
	if err := result.WriteTable(streams.Out); err != nil || options.slowest == 0 {
		return exitDone, err
	}
	return exitDone, result.WriteSlowest(streams.Out, options.slowest)
}
