package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"carobpulley/oper"
)

// ownership groups the shards that one owner has in one state.
type ownership struct {
	owner  string
	active bool
}

// owners returns a line per owner with its shards as ranges.
func owners(s oper.Status) []string {
	groups := map[ownership][]oper.Shard{}
	for _, sh := range s.Shards {
		key := ownership{sh.Owner, sh.Active}
		groups[key] = append(groups[key], sh)
	}
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b ownership) int {
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
		lines = append(lines, fmt.Sprintf("shards of %s, %s: %s", name, state, ranges(groups[k])))
	}
	return lines
}

// ranges writes shards as "0-3@7 5@8", each with its epoch.
func ranges(list []oper.Shard) string {
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
