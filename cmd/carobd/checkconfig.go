package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/logs"
	"carobpulley/meter"
	"carobpulley/platform"
	"carobpulley/setup"
)

const checkConfigUsage = `carobd check-config [--in-force FILE | --in-force-from-store] [--json] FILE

Checks a configuration document before it is sent, and lists what differs from
the one in force. FILE is - for the standard input. The store is read only; its
address is in the settings file that CAROBPULLEY_CONFIG names.

Exit codes: 0 without errors and warnings, 1 with errors, 2 if the check could
not be done, 3 with warnings and no errors. Differences don't matter to it.`

// exitWarnings is the exit code if there are warnings and no errors.
const exitWarnings = 3

// storeReadTimeout bounds the read of the configuration in force from the store.
const storeReadTimeout = 5 * time.Second

// Flags of check-config.
const (
	flagInForce   = "in-force"
	flagFromStore = "in-force-from-store"
	flagJSON      = "json"
)

func checkConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a configuration document and compare it with the one in force",
		UsageText: checkConfigUsage,
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagInForce, Usage: "compare with the document in a `FILE`"},
			&cli.BoolFlag{Name: flagFromStore, Usage: "compare with the newest document in the store"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the findings as JSON"},
		},
		Action: runCheckConfig,
	}
}

// configReport is the output of check-config with --json.
type configReport struct {
	Errors   int                `json:"errors"`
	Warnings int                `json:"warnings"`
	Changes  int                `json:"changes"`
	Findings []platform.Finding `json:"findings"`
}

func runCheckConfig(ctx context.Context, cmd *cli.Command) error {
	findings, err := checkConfigFiles(ctx, cmd)
	if err != nil {
		return &setup.Error{Op: "check-config", Kind: carobpulley.KindInvalid, Err: err}
	}
	report := newConfigReport(findings)
	if err := report.print(cmd); err != nil {
		return &setup.Error{Op: "check-config", Kind: carobpulley.KindInternal, Err: err}
	}
	return report.verdict()
}

// checkConfigFiles reads what the command line names and returns the findings.
func checkConfigFiles(ctx context.Context, cmd *cli.Command) ([]platform.Finding, error) {
	if cmd.NArg() != 1 {
		return nil, errors.Errorf("got %d files, want one", cmd.NArg())
	}
	if cmd.IsSet(flagInForce) && cmd.Bool(flagFromStore) {
		return nil, errors.Errorf("--%s and --%s are both set", flagInForce, flagFromStore)
	}
	doc, err := readConfigFile(cmd, cmd.Args().First())
	if err != nil {
		return nil, err
	}
	var inForce []byte
	switch {
	case cmd.IsSet(flagInForce):
		inForce, err = readConfigFile(cmd, cmd.String(flagInForce))
	case cmd.Bool(flagFromStore):
		inForce, err = readConfigInForce(ctx)
	}
	if err != nil {
		return nil, err
	}
	return platform.CheckConfig(doc, inForce)
}

func readConfigFile(cmd *cli.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.Root().Reader)
	}
	return os.ReadFile(path)
}

// readConfigInForce returns the newest configuration in the store that the settings file names.
func readConfigInForce(ctx context.Context) ([]byte, error) {
	b, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	settings, err := platform.ParseSettings(b)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	store := platform.NewStoreClient(settings.Store, logs.NewRejects(zerolog.Nop(), meter.New()))
	records, _, err := store.Newest(ctx, platform.ConfigSource{}.Partition())
	if err != nil {
		return nil, err
	}
	for i := range records {
		change, err := platform.ConfigSource{}.Decode(records[i])
		if err != nil {
			return nil, errors.Wrap(err, "configuration in the store")
		}
		if change.Config != nil {
			return records[i].Value, nil
		}
	}
	return nil, errors.Errorf("the store at %s holds no configuration", settings.Store)
}

func newConfigReport(findings []platform.Finding) *configReport {
	r := &configReport{Findings: append([]platform.Finding{}, findings...)}
	for i := range findings {
		switch findings[i].Severity {
		case platform.SeverityError:
			r.Errors++
		case platform.SeverityWarning:
			r.Warnings++
		case platform.SeverityChange:
			r.Changes++
		}
	}
	return r
}

func (r *configReport) print(cmd *cli.Command) error {
	w := cmd.Root().Writer
	if cmd.Bool(flagJSON) {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	for i := range r.Findings {
		f := &r.Findings[i]
		if _, err := fmt.Fprintf(w, "%s: %s: %s (%s)\n", f.Severity, f.Place(), f.Text, f.Code); err != nil {
			return err
		}
	}
	if r.Errors+r.Warnings > 0 {
		return nil // the error of verdict has the summary
	}
	_, err := fmt.Fprintln(w, r.summary())
	return err
}

func (r *configReport) summary() string {
	return fmt.Sprintf("errors: %d, warnings: %d, changes: %d", r.Errors, r.Warnings, r.Changes)
}

// verdict returns an error with the exit code; nil without errors and warnings.
func (r *configReport) verdict() error {
	e := &setup.Error{Op: "check-config", Kind: carobpulley.KindInvalid, Err: errors.New(r.summary())}
	switch {
	case r.Errors > 0:
		e.Exit = setup.ExitFailed
	case r.Warnings > 0:
		e.Exit = exitWarnings
	default:
		return nil
	}
	return e
}
