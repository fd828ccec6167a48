//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns what broke the rule; empty if nothing did.
var cases = map[string]func(record string, trouble bool) ([]string, error){
	"count":   countCase,
	"cancel":  cancelCase,
	"pending": pendingCase,
	"split":   splitCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(exitNotRun)
	}
	for i, b := range broken {
		if i == mostShown {
			fmt.Println("and", len(broken)-i, "more")
			break
		}
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

// mostShown bounds the lines that name what broke the rule.
const mostShown = 8

// program is the program under test, built by the deploy file.
const program = "target/carobd"
