// Package setup reads the settings of the programs from flags and environment
// variables, and holds what all programs share: logger, status pages, version.
//
// A flag --some-name can also be set as CAROB_SOME_NAME; the flag wins. All
// wrong settings are reported at once.
package setup
