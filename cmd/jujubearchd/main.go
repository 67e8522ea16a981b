// Command jujubearchd is the daemon of one entry. It either serves callers' requests and runs tasks (run), or
// schedules jobs on the users' platform (serve). It can also check a settings file (check) and run a development set-up
// on loopback (dev).
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "jujubearchd",
		Short:         "Daemon of a jujubearch entry",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), serveCommand(), checkCommand(), devCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
