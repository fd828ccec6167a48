// Package api implements the callers' HTTP API of an entry: JSON in snake_case
// over HTTP, described in docs/api.md. It validates and decodes requests and
// passes them to a Backend; it makes no decisions on keys or tasks.
package api
