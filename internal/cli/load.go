package cli

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/load"
)

// runLoad runs a load plan against a local system and prints the report.
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
	ctx := untilSignal()
	report, err := load.Run(ctx, load.Config{
		Plan: plan,
		Seed: options.seed,
		Mode: gate.Mode(options.mode),
		Log:  logr.Discard(),
	})
	if err != nil {
		return exitFailed, err
	}
	if options.plot != "" {
		if err := report.Plot(options.plot); err != nil {
			return exitFailed, err
		}
	}
	if options.json {
		return exitDone, report.WriteJSON(streams.Out)
	}
	if err := report.WriteTable(streams.Out); err != nil || options.slowest == 0 {
		return exitDone, err
	}
	return exitDone, report.WriteSlowest(streams.Out, options.slowest)
}
