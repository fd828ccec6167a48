// Package agent implements the server of agentd: it serves dispatches for the
// endpoint beside it, has the gate of package fence check each start, calls the
// endpoint over HTTP, and announces the endpoint to the entries.
//
// A started task runs to its end even if the connection of its dispatch is lost;
// the sender gets the outcome with Query.
package agent
