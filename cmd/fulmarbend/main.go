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

	"github.com/fulmarbend/fulmarbend/internal/fulmarnode"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsettings"
)

const exitFault = 1

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFault)
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
				Action: serve,
			},
			frontCommand(),
			{
				Name:      "check",
				Usage:     "print the faults of a settings file",
				ArgsUsage: "FILE",
				Action:    check,
			},
		},
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("fulmarbend: check takes one file")
	}
	if _, err := fulmarsettings.Load(cmd.Args().First()); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, "settings are valid")
	return nil
}

// serve runs the daemon. The first SIGTERM or SIGINT starts a graceful
// shutdown, the second ends the process at once.
func serve(ctx context.Context, cmd *cli.Command) error {
	settings, err := fulmarsettings.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String("log-level"))); err != nil {
		return fmt.Errorf("fulmarbend: log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	log := slog.New(slog.NewTextHandler(os.Stderr, options)).With("instance", settings.ID)
	node, err := fulmarnode.New(settings, log)
	if err != nil {
		return err
	}
	stopCtx, stop := untilSignal(ctx, log)
	defer stop()
	return node.Run(stopCtx)
}

// untilSignal returns a context that ends with the first SIGTERM or SIGINT. The second ends the process.
func untilSignal(ctx context.Context, log *slog.Logger) (context.Context, context.CancelFunc) {
	stopCtx, stop := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		log.Warn("second signal, ending at once")
		os.Exit(exitFault)
	}()
	return stopCtx, stop
}

// plainErrors logs the message of an error. The text handler would print the
// stack that errors of pkg/errors carry, which breaks the one line of an event.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
