// Package roster keeps the membership of endpoints and entries from their
// announcements. It is pure: it does no I/O and reads no clock.
//
// Roster costs at most logarithmic time per event. Naive is its reference: it
// scans all endpoints at each event.
package roster
