package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"stairrelay/internal/settings"
)

// version is the release; the build's own stamp is added where there is one.
const version = "0.1.0"

// operatorsEnv names the operators' settings file, since the platform fixes
// the command line.
const operatorsEnv = "STAIRRELAY_OPERATORS"

// settingsError is an error of the settings that the program is started with.
type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }
func (e *settingsError) Unwrap() error { return e.err }

var errNoConfig = errors.New("--config: missing; see --help")

// options are the values of the command line's flags.
type options struct {
	configPath    string
	operatorsPath string
}

func newCommand() *cobra.Command {
	var opts options
	root := &cobra.Command{
		Use:           "stairrelay --config FILE",
		Short:         "Run a controller of the cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          opts.runController,
	}
	root.Flags().StringVar(&opts.configPath, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&opts.operatorsPath, "operators", os.Getenv(operatorsEnv), "the operators' settings file (JSON); also "+operatorsEnv)
	root.AddCommand(&cobra.Command{
		Use:   "check-config FILE",
		Short: "Check the settings and open nothing",
		Args:  cobra.ExactArgs(1),
		RunE:  opts.checkConfig,
	})
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   printVersion,
	})
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func (o *options) runController(command *cobra.Command, _ []string) error {
	if o.configPath == "" {
		return &settingsError{errNoConfig}
	}
	loaded, err := settings.Load(o.configPath, o.operatorsPath)
	if err != nil {
		return &settingsError{err}
	}
	return runController(command.Context(), loaded)
}

func (o *options) checkConfig(command *cobra.Command, args []string) error {
	loaded, err := settings.Load(args[0], o.operatorsPath)
	if err != nil {
		return &settingsError{err}
	}
	for _, warning := range loaded.Warnings {
		fmt.Fprintln(command.ErrOrStderr(), "odd:", warning)
	}
	fmt.Fprintln(command.OutOrStdout(), "ok")
	return nil
}

func printVersion(command *cobra.Command, _ []string) {
	fmt.Fprintln(command.OutOrStdout(), "stairrelay", version)
}
