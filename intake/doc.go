// Package intake bounds what clients that send requests slowly, or never to their end, take of a process:
// memory by a budget for unfinished requests, descriptors by a bound on open connections, and time by
// deadlines for heads and bodies.
//
// Ledger decides without I/O or a clock of its own. It addresses many requests at once of which each is legal:
// large bodies that stop just short of their end, in pieces or chunks of any size, heads that trickle in, and
// connections that send nothing. Under the budget or the bound of connections each request is served; at
// them the slowest unfinished requests are aborted. A request that has been received whole is never aborted,
// however long its response takes. Gate applies the decisions to the connections of net/http servers.
package intake
