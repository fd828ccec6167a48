// Package conf reads the catalogue document and folds change records of the
// config stream into versions. It is pure: it does no I/O and reads no clock.
//
// Parse turns a document into a carobpulley.Catalogue and reports all faults
// at once, each with its line. Fold applies the records of the stream in log
// order, so that all processes agree on every version and its document.
package conf
