package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"stairrelay/internal/settings"
)

const version = "0.1.0"

// operatorsEnv is the environment variable for the path of the operators' settings file.
// Operators can set it where the platform controls the command line.
const operatorsEnv = "STAIRRELAY_OPERATORS"

// settingsError marks an error in the settings, for which the program exits with
// exitSettings.
type settingsError struct{ err error }

// Error returns the text of the underlying error.
func (e *settingsError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *settingsError) Unwrap() error { return e.err }

// errNoConfig is the error for a command line without a settings file.
var errNoConfig = errors.New("--config: missing; see --help")

// options holds the values of the command-line flags.
type options struct {
	configPath    string
	operatorsPath string
}

// newCommand returns the root command with its subcommands.
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
	root.CompletionOptions.DisableDefaultCmd = true
	root.Flags().StringVar(&opts.configPath, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&opts.operatorsPath, "operators", os.Getenv(operatorsEnv),
		"the operators' settings file (JSON); defaults to the value of "+operatorsEnv)
	root.AddCommand(&cobra.Command{
		Use:   "check-config FILE",
		Short: "Check the settings without starting a controller",
		Args:  cobra.ExactArgs(1),
		RunE:  opts.checkConfig,
	})
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   printVersion,
	})
	return root
}

// runController runs a controller with the settings files given by the flags.
func (o *options) runController(command *cobra.Command, _ []string) error {
	if o.configPath == "" {
		return &settingsError{errNoConfig}
	}
	loaded, err := o.loadSettings(o.configPath)
	if err != nil {
		return err
	}
	return runController(command.Context(), loaded)
}

// checkConfig loads the settings and prints a warning for each questionable one, and "ok".
// It returns an error if the settings are invalid.
func (o *options) checkConfig(command *cobra.Command, arguments []string) error {
	loaded, err := o.loadSettings(arguments[0])
	if err != nil {
		return err
	}
	for _, warning := range loaded.Warnings {
		command.PrintErrln("warning:", warning)
	}
	command.Println("ok")
	return nil
}

// loadSettings loads a settings file together with the operators' file. Any error is a
// settingsError.
func (o *options) loadSettings(configPath string) (*settings.Settings, error) {
	loaded, err := settings.Load(configPath, o.operatorsPath)
	if err != nil {
		return nil, &settingsError{err}
	}
	return loaded, nil
}

func printVersion(command *cobra.Command, _ []string) {
	command.Println("stairrelay", version)
}
