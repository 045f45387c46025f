package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfront"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlog"
	"github.com/fulmarbend/fulmarbend/platform/fulmaradapter"
	"github.com/fulmarbend/fulmarbend/platform/fulmarboot"
)

// maxLines bounds the log of a daemon, in lines a second.
const maxLines = 400

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "run the daemon on the users' platform until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "boot", Usage: "settings `FILE` of the platform", Sources: cli.EnvVars(fulmarboot.EnvVar)},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
			&cli.BoolFlag{Name: "check", Usage: "print the faults of the settings file and end"},
		},
		Action: front,
	}
}

// front runs the daemon of the users' platform.
func front(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("boot")
	if path == "" {
		return fmt.Errorf("fulmarbend: neither --boot nor %s names a settings file", fulmarboot.EnvVar)
	}
	// From here to the end of the process, as SIGHUP would otherwise end it, also while it shuts down.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := fulmarboot.Load(path)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Fprintln(os.Stdout, "settings are valid")
		return nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(cmd.String("log-level"))); err != nil {
		return fmt.Errorf("fulmarbend: log level: %w", err)
	}
	out := fulmarlog.New(os.Stdout, maxLines)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors})).With("instance", settings.ID)
	daemon, err := fulmarfront.New(settings, fulmaradapter.New(), log)
	if err != nil {
		return err
	}
	stop, cancel := untilSignal(ctx, log)
	defer cancel()
	go watchSettings(stop, reload, path, settings, daemon, log)
	return daemon.Run(stop)
}

// fileEvery is the time between looks at the settings file, which may change without a signal.
const fileEvery = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when their file has changed.
func watchSettings(
	ctx context.Context, signals <-chan os.Signal, path string, old fulmarfront.Settings, daemon *fulmarfront.Front, log *slog.Logger,
) {
	ticker := time.NewTicker(fileEvery)
	defer ticker.Stop()
	var written time.Time
	if info, err := os.Stat(path); err == nil {
		written = info.ModTime()
	}
	for {
		signalled := false
		select {
		case <-signals:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(path)
		if err == nil && !signalled && info.ModTime().Equal(written) {
			continue
		}
		if err == nil {
			written = info.ModTime()
		}
		s, err := fulmarboot.Load(path)
		if err != nil {
			log.Warn("settings not reloaded, the former ones stay in force", "signal", signalled, "error", err)
			continue
		}
		if signalled || s != old {
			daemon.Reload(s)
		}
		old = s
	}
}
