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
	exitFindings
)

const (
	maxInputSize = 4 << 20 // bytes
	// attemptTimeout bounds the call to one daemon, so that a frozen one leaves time to try the next.
	// It exceeds the 5 s or so that a daemon may need to find out whether a put took effect after it
	// lost the key-value service's response.
	attemptTimeout = 6 * time.Second
)

var errUsage = errors.New("usage")

// usageError returns an error for which the program exits with exitUsage.
func usageError(format string, args ...any) error {
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
	t := &app{stdin: stdin, out: stdout}
	root := t.command()
	root.Writer, root.ErrWriter = stdout, stderr
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the default would exit; exitCode chooses the code
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	code := exitCode(err)
	printError(stderr, err)
	return code
}

func exitCode(err error) int {
	var responseErr *fulmaradmin.Error
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errFindings):
		return exitFindings
	case errors.Is(err, fulmaradmin.ErrAmbiguous):
		return exitAmbiguous
	case errors.Is(err, fulmaradmin.ErrUnreachable), errors.Is(err, errNotInForce), errors.Is(err, errNoStore):
		return exitUnreachable
	case errors.As(err, &responseErr):
		switch responseErr.Status {
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

// printError writes an error with the faults of the input, or the diff to the version in force after a conflict.
func printError(w io.Writer, err error) {
	var responseErr *fulmaradmin.Error
	var faults *fulmarconfig.FaultsError
	switch {
	case errors.As(err, &responseErr):
		fmt.Fprintln(w, "fulmarctl:", responseErr.Message)
		for _, f := range responseErr.Faults {
			fmt.Fprintln(w, " ", f)
		}
		if responseErr.CurrentVersion > 0 {
			fmt.Fprintf(w, "version in force: %d by %s; from it to yours:\n", responseErr.CurrentVersion, responseErr.CurrentAuthor)
			printLines(w, responseErr.Diff)
		}
		if responseErr.OperationID != "" {
			fmt.Fprintln(w, "operation:", responseErr.OperationID)
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

// app is one execution of the command line.
type app struct {
	stdin io.Reader
	out   io.Writer
}

func (t *app) command() *cli.Command {
	return &cli.Command{
		Name:                  "fulmarctl",
		Usage:                 "operate a fulmarbend fleet",
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError("%v", err) },
		CommandNotFound: func(_ context.Context, c *cli.Command, name string) {
			fmt.Fprintf(c.Root().ErrWriter, "no command %q\n", name)
		},
		Action: requireSubcommand,
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
			t.drainCommand(), t.quarantineCommand(), t.rosterCommand(), t.routesCommand(),
		},
	}
}

// requireSubcommand is the action of a command that only has subcommands; it fails and shows the help.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError("%s has no command %q", c.FullName(), c.Args().First())
	}
	if err := cli.ShowSubcommandHelp(c); err != nil {
		return err
	}
	return usageError("%s needs a command", c.FullName())
}

// clientCommand returns a command that calls daemons. It takes exactly the arguments named in arguments,
// which are separated by spaces.
func (t *app) clientCommand(name, text, arguments string, flags []cli.Flag, act func(context.Context, *session) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: text, ArgsUsage: arguments, Flags: flags,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError("%v", err) },
		Action: func(ctx context.Context, c *cli.Command) error {
			if want := len(strings.Fields(arguments)); c.Args().Len() != want {
				return usageError("%s needs %d arguments: %s", c.FullName(), want, arguments)
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			return act(ctx, &session{app: t, Client: client, c: c})
		},
	}
}

func newClient(c *cli.Command) (*fulmaradmin.Client, error) {
	servers := c.StringSlice("server")
	if len(servers) == 0 {
		return nil, usageError("no server: use --server or FULMARBEND_SERVERS")
	}
	for _, s := range servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return nil, usageError("server %q is not an address of the form IP:port", s)
		}
	}
	text := c.String("key")
	if path := c.String("key-file"); text == "" && path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, usageError("%v", err)
		}
		text = string(b)
	}
	key, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(key) == 0 {
		return nil, usageError("no admin key in hexadecimal: use --key-file, FULMARBEND_KEY_FILE or FULMARBEND_KEY")
	}
	return fulmaradmin.NewClient(servers, key, &http.Client{Timeout: attemptTimeout}), nil
}

// session is the execution of one command with its client.
type session struct {
	*app
	*fulmaradmin.Client
	c *cli.Command
}

func (s *session) arg(i int) string { return s.c.Args().Get(i) }

// print writes v as JSON if --json is set, or else calls printText.
func (s *session) print(v any, printText func(w io.Writer)) error {
	if !s.c.Bool("json") {
		printText(s.out)
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

// readInput reads a file, or standard input if path is "-".
func (s *session) readInput(path string) (string, error) {
	r := s.stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return "", err
		}
		defer func() { _ = f.Close() }() // errors on closing a file that was only read are harmless
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxInputSize+1))
	if err == nil && len(b) > maxInputSize {
		err = errors.Errorf("%s is larger than %d bytes", path, maxInputSize)
	}
	return string(b), err
}
