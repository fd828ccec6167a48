package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"carobpulley/oper"
)

// ownerGroup is the key by which shards are grouped: their owner and state.
type ownerGroup struct {
	owner  string
	active bool
}

// formatOwners returns a line with the ranges of shards for each owner and state.
func formatOwners(s oper.Status) []string {
	groups := map[ownerGroup][]oper.Shard{}
	for _, sh := range s.Shards {
		key := ownerGroup{sh.Owner, sh.Active}
		groups[key] = append(groups[key], sh)
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b ownerGroup) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
	lines := make([]string, 0, len(keys))
	for _, k := range keys {
		name, state := k.owner, "active"
		if name == "" {
			name = "(none)"
		}
		if !k.active {
			state = "not active"
		}
		lines = append(lines, fmt.Sprintf("shards of %s, %s: %s", name, state, formatShardRanges(groups[k])))
	}
	return lines
}

// formatShardRanges formats shards as "0-3@7 5@8": ranges, each with its epoch.
func formatShardRanges(list []oper.Shard) string {
	slices.SortFunc(list, func(a, b oper.Shard) int { return a.Shard - b.Shard })
	var parts []string
	for i := 0; i < len(list); {
		j := i + 1
		for j < len(list) && list[j].Shard == list[j-1].Shard+1 && list[j].Epoch == list[i].Epoch {
			j++
		}
		part := fmt.Sprintf("%d@%d", list[i].Shard, list[i].Epoch)
		if j > i+1 {
			part = fmt.Sprintf("%d-%d@%d", list[i].Shard, list[j-1].Shard, list[i].Epoch)
		}
		parts = append(parts, part)
		i = j
	}
	return strings.Join(parts, " ")
}
