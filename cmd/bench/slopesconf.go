package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/conf"
	"carobpulley/inner"
	"carobpulley/memlog"
	"carobpulley/stream"
)

// catalogueDocument returns a catalogue document with 9 domains and a number of members.
func catalogueDocument(entries []string, members int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "format: 1\nentries: [%s]\ndomains:\n", strings.Join(entries, ", "))
	for i := range 9 {
		fmt.Fprintf(&b, "  - {name: %s, region: region-%d, in_service: true}\n", domainName(i), i/3)
	}
	b.WriteString("members:\n")
	for i := range members {
		fmt.Fprintf(&b, "  - name: %s\n    token_sha256: [\"%x\"]\n", memberName(i), sha256.Sum256([]byte(memberName(i))))
		b.WriteString("    quota: {starts_per_second: 1000000, max_concurrent: 100000, weight: 1}\n")
	}
	b.WriteString("services:\n")
	classes := carobpulley.Classes()
	for i := range members * servicesPerMember {
		fmt.Fprintf(&b, "  - name: %s\n    member: %s\n    class: %s\n", serviceName(i), memberName(i/servicesPerMember), classes[i%3])
		b.WriteString("    limits: {max_concurrent: 100000, max_tasks: 120}\n    run_time: 173ms\n    idempotent: true\n")
	}
	return []byte(b.String())
}

// changeStream returns a stream of acceptable changes and their mean size in the log.
func changeStream(members, n int) (carobpulley.Page, float64) {
	page := carobpulley.Page{Oldest: conf.FirstOffset, Next: conf.FirstOffset}
	size := 0
	for i := range n {
		data, err := conf.Change{
			ID: fmt.Sprintf("change-%032d", i), Base: uint64(i), Author: "operator", Time: virtualStart,
			Document: catalogueDocument([]string{ownerEntry, receiverEntry, "entry-c"}, members),
		}.Encode()
		if err != nil {
			panic(err)
		}
		size += len(data)
		page.Records = append(page.Records, carobpulley.Record{Offset: page.Next, ID: fmt.Sprint(i), Time: virtualStart, Data: data})
		page.Next++
	}
	return page, float64(size) / float64(n)
}

// newFold returns a fold that has applied a page of changes.
func newFold(page carobpulley.Page) *conf.Fold {
	f := conf.NewFold()
	for _, r := range f.Apply(conf.FirstOffset, page) {
		if r.Outcome != conf.Accepted {
			panic("a change was not accepted")
		}
	}
	if _, err := f.Catalogue(); err != nil {
		panic(err)
	}
	return f
}

// foldBytes returns the size of a fold without the records that it has read.
func foldBytes(page carobpulley.Page) float64 {
	size := heapBytes(func() any { return newFold(page) })
	runtime.KeepAlive(page)
	return size
}

func measureFold(context.Context) ([]measurement, error) {
	byMembers := func(quantity, unit, code string, measure func(n int) float64) measurement {
		return measureSizes(measurement{Quantity: quantity, Unit: unit, Per: "member", Code: code, Fixed: "2 services per member"}, memberSizes, measure)
	}
	const code = "conf.Fold.Apply"
	history := measurement{Quantity: "fold with its history", Unit: unitBytes, Per: "change", Code: "conf.Fold.keep", Fixed: "47 members, 2 services per member"}
	return []measurement{
		byMembers("change record", unitBytes, "conf.Change.Encode", func(n int) float64 {
			_, size := changeStream(n, 1)
			return size
		}),
		byMembers("fold of a change", unitNanos, code, func(n int) float64 {
			page, _ := changeStream(n, 10)
			return cpuNanos(1, func() { newFold(page) }) / 10
		}),
		byMembers("fold of one change", unitBytes, code, func(n int) float64 {
			page, _ := changeStream(n, 1)
			return foldBytes(page)
		}),
		measureSizes(history, []int{20, 60, 180}, func(n int) float64 {
			page, _ := changeStream(designMembers, n)
			return foldBytes(page)
		}),
	}, nil
}

// appendDelay is the time of a synced write of the log, which is "several ms".
const appendDelay = 5 * time.Millisecond

// journalItem returns the data that an entry appends to its journal for a claim.
func journalItem(c carobpulley.Claim) []byte {
	data, err := proto.Marshal(inner.JournalRecordToWire(inner.JournalRecord{
		Entry: ownerEntry, Incarnation: uint64(virtualStart.UnixNano()), Claims: []carobpulley.Claim{c},
	}))
	if err != nil {
		panic(err)
	}
	return data
}

func measureJournal(ctx context.Context) ([]measurement, error) {
	size := measurement{
		Quantity: "journal", Unit: unitBytes, Per: perTaskOfJob, Code: "entry.Entry.writeJournal", Fixed: fixedPayload + ", claim and complete answer",
	}
	size = measureSizes(size, taskSizes, func(n int) float64 {
		c := newClaim(0, n)
		return float64(len(journalItem(c)) + len(journalItem(answeredClaim(c))))
	})
	rate := measurement{
		Quantity: "journal appends", Unit: unitRate, Per: "job/s of an entry", Code: "stream.Group.Run", Fixed: "a synced write takes 5 ms, 1 task per job",
	}
	rate = measureSizes(rate, []int{10, 100, 1000, 10_000}, func(n int) float64 {
		return appendRate(ctx, n)
	})
	return []measurement{size, rate}, nil
}

// appendRate returns the appends per second of a journal at a rate of jobs per second.
func appendRate(ctx context.Context, jobs int) float64 {
	const duration = 2 * time.Second
	log := memlog.New(memlog.Retention{}, time.Now)
	log.SetFaults(memlog.Faults{Delay: appendDelay})
	lastID := 0
	g := stream.NewGroup(log, carobpulley.StreamJournalPrefix+ownerEntry, func() string {
		lastID++
		return fmt.Sprint(lastID)
	})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	claim := newClaim(0, 1)
	items := [][]byte{journalItem(claim), journalItem(answeredClaim(claim))}
	start := time.Now()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	added := 0
	for now := start; now.Sub(start) < duration; now = <-ticker.C {
		// Each job has two items: the claim and, later, the answer.
		for due := int(now.Sub(start).Seconds() * float64(2*jobs)); added < due; added++ {
			if _, err := g.Add(items[added%len(items)]); err != nil {
				panic(err)
			}
		}
	}
	rate := float64(log.Stats().Appends) / time.Since(start).Seconds()
	cancel()
	<-done
	return rate
}
