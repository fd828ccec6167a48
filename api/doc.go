// Package api is the callers' HTTP API of an entry: JSON in snake_case over
// HTTP, described in docs/api.md. It checks and decodes what callers send and
// passes it to a Backend; it takes no decisions on keys or tasks.
package api
