package main

import (
	"context"
	"fmt"
	"time"

	"carobpulley"
	"carobpulley/owner"
)

// newEntryNames returns the names of a number of entries.
func newEntryNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%02d", i)
	}
	return names
}

// newSettledAuthority returns the authority of the first of several entries after all
// shards have been claimed and opened, and the virtual time then.
func newSettledAuthority(shards int, names []string) (*owner.Authority, time.Time) {
	now := virtualStart
	a := owner.NewAuthority(now, names[0], 1, shards)
	a.Step(now, carobpulley.Configured{Entries: names})
	a.Step(now, carobpulley.LogRead{SentAt: now})
	owned := map[string][]carobpulley.Ownership{}
	for i := range shards {
		name := owner.PreferredOwner(names, i, nil)
		owned[name] = append(owned[name], carobpulley.Ownership{Shard: i, Owner: name, Epoch: 1})
	}
	for _, name := range names {
		a.Step(now, carobpulley.ClaimRead{Entry: name, Incarnation: 1, Shards: owned[name]})
		a.Step(now, carobpulley.YieldAnswered{Peer: name, Incarnation: 1, Shards: owned[names[0]]})
	}
	for range 60 {
		now = now.Add(carobpulley.ContactInterval)
		contactPeers(a, now, names)
		a.Step(now, carobpulley.AuthorityTick{})
	}
	return a, now
}

// contactPeers handles a successful contact with each peer in both directions, and a
// read of the log.
func contactPeers(a *owner.Authority, now time.Time, names []string) {
	for _, name := range names[1:] {
		a.Step(now, carobpulley.ContactAnswered{Peer: name, Incarnation: 1, SentAt: now, Vouch: true})
		a.Step(now, carobpulley.ContactAsked{Peer: name, Incarnation: 1})
	}
	a.Step(now, carobpulley.LogRead{SentAt: now})
}

func measureAuthority(context.Context) ([]measurement, error) {
	tick := measurement{Quantity: "authority tick", Unit: unitNanos, Per: "shard", Code: "owner.Authority.tick", Fixed: "9 entries, all alive"}
	contacts := measurement{
		Quantity: "contacts of one interval", Unit: unitNanos, Per: "entry",
		Code: "owner.Authority.contactAnswered, contactAsked", Fixed: "512 shards",
	}
	has := measurement{Quantity: "check of authority", Unit: unitNanos, Per: "entry", Code: "owner.Authority.Has"}
	entries := []int{3, 9, 15}
	return []measurement{
		measureSizes(tick, []int{64, 256, designShards}, func(n int) float64 {
			names := newEntryNames(9)
			a, now := newSettledAuthority(n, names)
			k := 0
			return cpuNanos(2000, func() {
				// As in package entry: 40 ticks/s, 10 per contact interval.
				now = now.Add(25 * time.Millisecond)
				if k++; k%10 == 0 {
					contactPeers(a, now, names)
				}
				a.Step(now, carobpulley.AuthorityTick{})
			})
		}),
		measureSizes(contacts, entries, func(n int) float64 {
			names := newEntryNames(n)
			a, now := newSettledAuthority(designShards, names)
			return cpuNanos(2000, func() {
				now = now.Add(carobpulley.ContactInterval)
				contactPeers(a, now, names)
			})
		}),
		measureSizes(has, entries, func(n int) float64 {
			a, now := newSettledAuthority(designShards, newEntryNames(n))
			if !a.Has(now) {
				panic("the entry has no authority")
			}
			return cpuNanos(200_000, func() { a.Has(now) })
		}),
	}, nil
}
