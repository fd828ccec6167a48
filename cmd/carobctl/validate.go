package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"carobpulley/conf"
)

const validateUsage = `carobctl validate FILE

Checks a document without an entry and prints all its faults with their lines.
FILE is - for the standard input.`

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a document",
		UsageText: validateUsage,
		Action:    withoutClient(1, validate),
	}
}

// validationResult is the output of validate.
type validationResult struct {
	Valid    bool `json:"valid"`
	Entries  int  `json:"entries"`
	Domains  int  `json:"domains"`
	Members  int  `json:"members"`
	Services int  `json:"services"`
	Draining int  `json:"draining"`
}

func validate(_ context.Context, e *env, c *cli.Command) error {
	doc, err := readFile(c)
	if err != nil {
		return err
	}
	cat, err := conf.Parse(doc)
	if err != nil {
		return asFailure(err)
	}
	n := validationResult{true, len(cat.Entries), len(cat.Domains), len(cat.Members), len(cat.Services), len(cat.Draining)}
	if e.json {
		printJSON(e.out, n)
		return nil
	}
	e.printf("valid: %d entries, %d domains, %d members, %d services, %d draining", n.Entries, n.Domains, n.Members, n.Services, n.Draining)
	return nil
}
