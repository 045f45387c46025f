package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmeshdaemon"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsettings"
)

const exitFailure = 1

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "fulmarbend",
		Usage: "route requests to targets that own their keys",
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "run the daemon until SIGTERM",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
					&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
				},
				Action: runServe,
			},
			frontCommand(),
			{
				Name:      "check",
				Usage:     "print the faults of a settings file",
				ArgsUsage: "FILE",
				Action:    runCheck,
			},
		},
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("fulmarbend: check takes one file")
	}
	if _, err := fulmarsettings.Load(cmd.Args().First()); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, "settings are valid")
	return nil
}

// runServe runs the daemon. The first SIGTERM or SIGINT starts a graceful
// shutdown; the second terminates the process.
func runServe(ctx context.Context, cmd *cli.Command) error {
	settings, err := fulmarsettings.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String("log-level"))); err != nil {
		return fmt.Errorf("fulmarbend: log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessages}
	log := slog.New(slog.NewTextHandler(os.Stderr, options)).With("instance", settings.ID)
	node, err := fulmarmeshdaemon.New(settings, log)
	if err != nil {
		return err
	}
	stopCtx, stop := cancelOnSignal(ctx, log)
	defer stop()
	return node.Run(stopCtx)
}

// cancelOnSignal returns a context that is canceled by the first SIGTERM or SIGINT. The second terminates
// the process without completing the shutdown.
func cancelOnSignal(ctx context.Context, log *slog.Logger) (context.Context, context.CancelFunc) {
	stopCtx, stop := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		log.Warn("second signal during shutdown, terminating immediately")
		os.Exit(exitFailure)
	}()
	return stopCtx, stop
}

// errorMessages replaces an error attribute by its message. The text handler
// would also print the stack trace of errors from pkg/errors, which spreads an
// event over several lines.
func errorMessages(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
