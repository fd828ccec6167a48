// Package roster tracks the membership of endpoints and entries from their
// announcements. It does no I/O and reads no clock.
//
// Roster takes at most logarithmic time per event. Naive is the reference
// implementation that tests compare it with; it scans all endpoints at each event.
package roster
