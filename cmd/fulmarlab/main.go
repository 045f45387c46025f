package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmardemo"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
	"github.com/fulmarbend/fulmarbend/internal/fulmarserver"
)

const (
	headerTimeout = 5 * time.Second
	defaultSlots  = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:     "fulmarlab",
		Usage:    "simulate the platform, targets and callers",
		Commands: []*cli.Command{platformCommand(), targetCommand(), loadCommand(), demoCommand(), trialCommand(), benchCommand(), replayCommand(), soakCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve serves h on address until ctx is canceled. It prints the address, of which the port may be chosen
// by the system.
func serve(ctx context.Context, address string, h http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "fulmarlab: listen")
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "fulmarlab: serve")
	}
	return nil
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the key-value service and the list of instances and targets",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "delay until the list shows a change"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := fulmarplatform.New(c.Duration("lag"))
			go p.Run(ctx)
			return serve(ctx, c.String("listen"), p)
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run one target",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "id", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "history", Required: true, Usage: "file to append events to"},
			&cli.BoolFlag{Name: "fenced", Value: true, Usage: "check the grants of requests"},
			&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "concurrent requests"},
			&cli.DurationFlag{Name: "cold", Usage: "extra service time of the first requests"},
			&cli.IntFlag{Name: "coldfor", Usage: "number of requests with extra service time"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log, file, err := fulmarhistory.Open(c.String("history"))
			if err != nil {
				return err
			}
			defer file.Close()
			s, err := fulmarserver.New(fulmarserver.Settings{
				Target: c.String("id"), Service: c.String("service"), Fenced: c.Bool("fenced"),
				Slots: c.Int("slots"), ColdDelay: c.Duration("cold"), ColdRequests: c.Int("coldfor"),
			}, log)
			if err != nil {
				return err
			}
			return serve(ctx, c.String("listen"), s)
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send load to daemons",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "daemon", Required: true, Usage: "host:port of a callers' listener"},
			&cli.StringSliceFlag{Name: "group", Required: true, Usage: "name:service:rate[:long share[:once]]"},
			&cli.StringFlag{Name: "history", Required: true, Usage: "file to append calls to"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings := fulmardemo.LoadSettings(c.Uint64("seed"), c.Duration("duration"), c.StringSlice("daemon"))
			for _, text := range c.StringSlice("group") {
				g, err := parseGroup(text)
				if err != nil {
					return err
				}
				settings.Groups = append(settings.Groups, g)
			}
			log, file, err := fulmarhistory.Open(c.String("history"))
			if err != nil {
				return err
			}
			defer file.Close()
			fulmarload.New(settings, log).Run(ctx).Print(os.Stdout)
			return nil
		},
	}
}

// parseGroup parses name:service:rate[:long share[:once]].
func parseGroup(text string) (fulmarload.Group, error) {
	fields := strings.Split(text, ":")
	if len(fields) < 3 {
		return fulmarload.Group{}, errors.Errorf("fulmarlab: group %q has fewer than 3 fields", text)
	}
	g := fulmarload.Group{Name: fields[0], Service: fields[1], AtMostOnce: len(fields) > 4 && fields[4] == "once"}
	var err error
	if g.Rate, err = strconv.ParseFloat(fields[2], 64); err != nil {
		return g, errors.Wrapf(err, "fulmarlab: rate of group %q", text)
	}
	if len(fields) > 3 {
		if g.LongShare, err = strconv.ParseFloat(fields[3], 64); err != nil {
			return g, errors.Wrapf(err, "fulmarlab: long share of group %q", text)
		}
	}
	return g, nil
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both deployments with losses and check the invariants",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the load"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "daemons of each deployment"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "keep", Usage: "keep everything running until interrupted"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return fulmardemo.New(fulmardemo.Settings{
				Duration: c.Duration("duration"), DaemonsPerDeployment: c.Int("daemons"),
				Seed: c.Uint64("seed"), KeepRunning: c.Bool("keep"),
			}, os.Stdout).Run(ctx)
		},
	}
}
