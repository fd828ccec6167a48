// Package conf parses the catalogue document and folds the change records of the
// config stream into versions. It does no I/O and reads no clock.
//
// Parse turns a document into a carobpulley.Catalogue and reports all problems
// at once, each with its line. Fold applies the records of the stream in log
// order, so that all processes agree on every version and its document. Rollout
// decides which version is in force at an entry and when a change is accepted.
package conf
