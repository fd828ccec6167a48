package intake

import "time"

// Role is what a listener serves.
type Role string

// Roles of listeners.
const (
	// RoleClients serves callers at a coordinator and heartbeats at an agent.
	RoleClients Role = "clients"
	// RoleInner serves other coordinators and agents.
	RoleInner Role = "inner"
	// RoleReady and RoleMetrics serve the platform's probes and readers of metrics.
	RoleReady   Role = "ready"
	RoleMetrics Role = "metrics"
)

const (
	// reservedFDs are the descriptors that limits.max-fds reserves for files.
	reservedFDs = 200
	// ownFDs are those of the process itself: connections to the store and the endpoint, listeners, the log.
	ownFDs = 64
	// outgoingFraction of the other descriptors is for connections to other processes. Each of up to 84
	// peers may have 8 idle ones, 672 of the 2,875 that are left of the smallest limit of a deployment.
	outgoingFraction = 0.25
	// minFDs is the smallest limit: with less a role has fewer than four connections for its clients.
	minFDs = 288

	// budgetFraction of the memory limit is for unfinished requests, and connectionFraction for the buffers
	// and stacks of connections. With the process's own 25 MB both stay below the 0.6 of the limit at which
	// the garbage collector runs more often, at the smallest limit of a deployment, 144 MB.
	budgetFraction     = 0.125
	connectionFraction = 0.2
	// connectionBytes is what net/http keeps for a connection, with its two buffers of 4 KiB and its stacks:
	// 13,238 to 16,089 bytes measured for 1,000 connections that are idle or send a head.
	connectionBytes = 16 << 10
	// maxRequestBytes is the largest legal request, a heartbeat, with bytesPerByte.
	maxRequestBytes = bytesPerByte * (4 << 20)
	// minMemoryMB is the smallest limit whose budget holds such a request.
	minMemoryMB = maxRequestBytes / (1 << 20) / budgetFraction

	// defaultBudgetBytes and defaultConnections are in force if the settings have no limits.
	defaultBudgetBytes = 256 << 20
	defaultConnections = 16 << 10
	// minConnections is what a role has at least.
	minConnections = 4
)

// shares of the connections, by role. Readiness and metrics have one client each.
var shares = map[Role]float64{RoleClients: 0.4, RoleInner: 0.5, RoleReady: 0.05, RoleMetrics: 0.05}

// Limits are the bounds of a process.
type Limits struct {
	// BudgetBytes bounds the memory of requests.
	BudgetBytes int64
	// Connections bounds the open connections that clients have opened, over all roles.
	Connections int
}

// DeriveLimits returns the limits for a memory limit in MiB and a limit on descriptors; 0 is none.
func DeriveLimits(memoryMB, maxFDs int64) (Limits, error) {
	l := Limits{BudgetBytes: defaultBudgetBytes, Connections: defaultConnections}
	switch {
	case memoryMB != 0 && memoryMB < minMemoryMB:
		return l, invalidf("memory-mb", "%d MB, want at least %d, which hold a heartbeat of 4 MiB", memoryMB, int(minMemoryMB))
	case maxFDs != 0 && maxFDs < minFDs:
		return l, invalidf("max-fds", "%d descriptors, want at least %d, of which %d are reserved for files", maxFDs, minFDs, reservedFDs)
	}
	if memoryMB > 0 {
		bytes := float64(memoryMB) * (1 << 20)
		l.BudgetBytes = int64(bytes * budgetFraction)
		l.Connections = min(l.Connections, int(bytes*connectionFraction/connectionBytes))
	}
	if maxFDs > 0 {
		l.Connections = int(min(int64(l.Connections), int64(float64(maxFDs-reservedFDs)*(1-outgoingFraction))-ownFDs))
	}
	return l, nil
}

// connections returns the bound of one role.
func (l Limits) connections(r Role) int {
	return max(int(float64(l.Connections)*shares[r]), minConnections)
}

// Timeouts are the times that a client has, from the moment at which each part begins.
type Timeouts struct {
	// Head is for a request's head, from its first byte or the connection's opening.
	Head time.Duration
	// Body is for its body.
	Body time.Duration
	// Idle is how long a connection without a request stays open.
	Idle time.Duration
	// MaxHeadBytes bounds a head; 0 leaves it to the server's bound.
	MaxHeadBytes int64
}
