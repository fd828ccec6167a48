// Package agent is the shell of agentd: it serves dispatches for the endpoint
// beside it, asks the gate of package fence before each start, calls the
// endpoint over HTTP, and announces the endpoint to the entries.
//
// A started task runs to its end even if the connection that brought it is
// lost; its sender finds the outcome by Query.
package agent
