package main

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/urfave/cli/v3"
)

const hashUsage = `Print the SHA-256 of a token in hexadecimal, as the catalogue and entryd's
--operator-token-sha256 hold it.

  carobctl hash my-token`

func hashCommand() *cli.Command {
	return &cli.Command{
		Name:        "hash",
		Usage:       "print the SHA-256 of a token",
		ArgsUsage:   "TOKEN",
		Description: hashUsage,
		Action: func(_ context.Context, cmd *cli.Command) error {
			token := cmd.Args().First()
			if token == "" {
				return usagef("a token is missing")
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "%x\n", sha256.Sum256([]byte(token)))
			return err
		},
	}
}
