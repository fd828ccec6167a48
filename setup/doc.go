// Package setup reads the settings of the programs from flags and environment
// variables, and provides what the programs share: logger, status pages, version.
//
// A flag --some-name can also be set as CAROB_SOME_NAME; the flag takes precedence.
// All invalid settings are reported at once.
package setup
