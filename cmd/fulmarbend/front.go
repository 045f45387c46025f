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

	"github.com/fulmarbend/fulmarbend/internal/fulmarfrontdaemon"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/platform/fulmaradapter"
	"github.com/fulmarbend/fulmarbend/platform/fulmarbootstrap"
)

// maxLogRate is the maximum number of log lines per second; more are dropped.
const maxLogRate = 400

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "run the daemon on the users' platform until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "boot", Usage: "settings `FILE` of the platform", Sources: cli.EnvVars(fulmarbootstrap.EnvVar)},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
			&cli.FloatFlag{
				Name: "hedge-share", Sources: cli.EnvVars("FULMARBEND_HEDGE_SHARE"),
				Usage: "largest `SHARE` of the requests that may be repeated which are sent a second time when their answers are late, 0 for none",
			},
			&cli.BoolFlag{Name: "check", Usage: "print the faults of the settings file and exit"},
		},
		Action: runFront,
	}
}

// runFront runs the daemon on the users' platform.
func runFront(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("boot")
	if path == "" {
		return fmt.Errorf("fulmarbend: neither --boot nor %s names a settings file", fulmarbootstrap.EnvVar)
	}
	// SIGHUP is caught until the process exits. Otherwise it would terminate the process, also during a shutdown.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	hedging := fulmarhedge.NewPolicy(cmd.Float("hedge-share"))
	load := func() (fulmarfrontdaemon.Settings, error) {
		s, err := fulmarbootstrap.Load(path)
		if err != nil {
			return s, err
		}
		s.Hedging = hedging
		return s, s.Check()
	}
	settings, err := load()
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
	out := fulmarlog.New(os.Stdout, maxLogRate)
	defer out.Close()
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessages})).With("instance", settings.ID)
	daemon, err := fulmarfrontdaemon.New(settings, fulmaradapter.New(), log)
	if err != nil {
		return err
	}
	stop, cancel := cancelOnSignal(ctx, log)
	defer cancel()
	go watchSettings(stop, reload, path, load, settings, daemon, log)
	return daemon.Run(stop)
}

// filePollInterval is the interval at which the settings file is checked for changes that no signal announced.
const filePollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the modification time of their file changes.
func watchSettings(
	ctx context.Context, signals <-chan os.Signal, path string, load func() (fulmarfrontdaemon.Settings, error),
	current fulmarfrontdaemon.Settings, daemon *fulmarfrontdaemon.Daemon, log *slog.Logger,
) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	var modTime time.Time
	if info, err := os.Stat(path); err == nil {
		modTime = info.ModTime()
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
		if err == nil && !signalled && info.ModTime().Equal(modTime) {
			continue
		}
		if err == nil {
			modTime = info.ModTime()
		}
		s, err := load()
		if err != nil {
			log.Warn("settings not reloaded, the previous ones stay in force", "signal", signalled, "error", err)
			continue
		}
		if signalled || s != current {
			daemon.Reload(s)
		}
		current = s
	}
}
