package main

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
)

// Exit codes.
const (
	exitOK = iota
	exitRefused
	exitUsage
	exitConflict
	exitUnreachable
	exitAmbiguous
)

const (
	maxInput = 4 << 20
	// tryTimeout bounds the wait for one daemon, so that a frozen one leaves time for the next.
	// A daemon needs about 5 s at most to settle a put whose answer it lost.
	tryTimeout = 6 * time.Second
)

var errUsage = errors.New("usage")

// usage returns an error that ends the program with exitUsage.
func usage(format string, args ...any) error {
	return errors.WithMessage(errUsage, fmt.Sprintf(format, args...))
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	t := &tool{stdin: stdin, out: stdout}
	root := t.command()
	root.Writer, root.ErrWriter = stdout, stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // run decides on the exit code
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	code := exitCode(err)
	report(stderr, err)
	return code
}

func exitCode(err error) int {
	var answered *fulmaradmin.Error
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, fulmaradmin.ErrAmbiguous):
		return exitAmbiguous
	case errors.Is(err, fulmaradmin.ErrUnreachable), errors.Is(err, errNotInForce):
		return exitUnreachable
	case errors.As(err, &answered):
		switch answered.Status {
		case http.StatusConflict:
			return exitConflict
		case http.StatusServiceUnavailable:
			return exitUnreachable
		case http.StatusGatewayTimeout:
			return exitAmbiguous
		}
	}
	return exitRefused
}

// report writes an error with its faults or the difference of a conflict.
func report(w io.Writer, err error) {
	var answered *fulmaradmin.Error
	var faults *fulmarconfig.FaultsError
	switch {
	case errors.As(err, &answered):
		fmt.Fprintln(w, "fulmarctl:", answered.Message)
		for _, f := range answered.Faults {
			fmt.Fprintln(w, " ", f)
		}
		if answered.Current > 0 {
			fmt.Fprintf(w, "version in force: %d by %s; from it to yours:\n", answered.Current, answered.Author)
			printLines(w, answered.Diff)
		}
		if answered.Operation != "" {
			fmt.Fprintln(w, "operation:", answered.Operation)
		}
	case errors.As(err, &faults):
		for _, f := range faults.Faults {
			fmt.Fprintln(w, "fulmarctl:", f)
		}
	default:
		fmt.Fprintln(w, "fulmarctl:", strings.TrimSuffix(err.Error(), ": "+errUsage.Error()))
	}
}

func printLines(w io.Writer, lines []string) {
	for _, l := range lines {
		fmt.Fprintln(w, " ", l)
	}
}

// tool is one execution.
type tool struct {
	stdin io.Reader
	out   io.Writer
}

func (t *tool) command() *cli.Command {
	return &cli.Command{
		Name:                  "fulmarctl",
		Usage:                 "operate a fulmarbend fleet",
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usage("%v", err) },
		CommandNotFound: func(_ context.Context, c *cli.Command, name string) {
			fmt.Fprintf(c.Root().ErrWriter, "no command %q\n", name)
		},
		Action: group,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "admin address `IP:PORT` of a daemon; may be repeated", Sources: cli.EnvVars("FULMARBEND_SERVERS")},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the admin key in hexadecimal", Sources: cli.EnvVars("FULMARBEND_KEY_FILE")},
			&cli.StringFlag{Name: "key", Usage: "admin `KEY` in hexadecimal; other users of the machine see a flag, so prefer the environment or a file", Sources: cli.EnvVars("FULMARBEND_KEY")},
			&cli.StringFlag{Name: "author", Usage: "`NAME` under which changes are stored", Sources: cli.EnvVars("FULMARBEND_AUTHOR")},
			&cli.DurationFlag{Name: "timeout", Usage: "longest time for the whole command", Value: 15 * time.Second},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			t.statusCommand(), t.configCommand(), t.exceptionCommand(), t.targetCommand(), t.explainCommand(),
			t.drainCommand(), t.quarantineCommand(), t.rosterCommand(),
		},
	}
}

// group is the action of a command that only has subcommands.
func group(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usage("%s has no command %q", c.FullName(), c.Args().First())
	}
	if err := cli.ShowSubcommandHelp(c); err != nil {
		return err
	}
	return usage("%s needs a command", c.FullName())
}

// leaf returns a command whose action has a client and exactly the named arguments.
func (t *tool) leaf(name, text, arguments string, flags []cli.Flag, act func(context.Context, *session) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: text, ArgsUsage: arguments, Flags: flags,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usage("%v", err) },
		Action: func(ctx context.Context, c *cli.Command) error {
			if want := len(strings.Fields(arguments)); c.Args().Len() != want {
				return usage("%s needs %d arguments: %s", c.FullName(), want, arguments)
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			return act(ctx, &session{tool: t, Client: client, c: c})
		},
	}
}

func newClient(c *cli.Command) (*fulmaradmin.Client, error) {
	servers := c.StringSlice("server")
	if len(servers) == 0 {
		return nil, usage("no server: use --server or FULMARBEND_SERVERS")
	}
	for _, s := range servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, usage("server %q is not an address of the form IP:port", s)
		}
	}
	text := c.String("key")
	if path := c.String("key-file"); text == "" && path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, usage("%v", err)
		}
		text = string(b)
	}
	key, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(key) == 0 {
		return nil, usage("no admin key in hexadecimal: use --key-file, FULMARBEND_KEY_FILE or FULMARBEND_KEY")
	}
	return fulmaradmin.NewClient(servers, key, &http.Client{Timeout: tryTimeout}), nil
}

// session is a command with its client.
type session struct {
	*tool
	*fulmaradmin.Client
	c *cli.Command
}

func (s *session) arg(i int) string { return s.c.Args().Get(i) }

// print writes v as JSON, or calls human.
func (s *session) print(v any, human func(w io.Writer)) error {
	if !s.c.Bool("json") {
		human(s.out)
		return nil
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write")
}

func (s *session) author() string {
	if name := s.c.String("author"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// input reads a file, or the standard input for "-".
func (s *session) input(path string) (string, error) {
	r := s.stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return "", err
		}
		defer func() { _ = f.Close() }() // it was only read
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxInput+1))
	if err == nil && len(b) > maxInput {
		err = errors.Errorf("%s is larger than %d bytes", path, maxInput)
	}
	return string(b), err
}
