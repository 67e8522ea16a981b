// Command jujubearch is the operators' command-line client of an entry's operator API. It submits intents, confirms or
// rejects the resulting plans, shows status and audit trail, and submits and cancels jobs. Its exit code tells whether
// a command may have taken effect.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// Exit codes. exitRefused means that the command had no effect, exitUnknown that it may have had one, and exitUsage any
// other error, such as wrong arguments.
const (
	exitSuccess = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	options := &options{}
	root := &cobra.Command{
		Use:           "jujubearch",
		Short:         "Operate jujubearch through intents and confirmed plans",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	options.addFlags(root)
	root.AddCommand(
		intentCommand(options), planCommand(options), statusCommand(options), workersCommand(options),
		tasksCommand(options), configCommand(options), auditCommand(options), jobCommand(options),
	)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return options.validate() }
	err := root.Execute()
	if err == nil {
		return exitSuccess
	}
	_, _ = fmt.Fprintln(errs, err)
	var failure *callError
	if errors.As(err, &failure) {
		return failure.exitCode
	}
	return exitUsage
}
