package work

import (
	"strings"
	"testing"
)

const (
	goodAddress = `{"name":"a","addr":"10.0.0.1:7","incarnation":3,"share":0.5,"endpoint":{"service":"s","capacity":{"cpu":1000}}}`
	goodClaim   = `{"shard":3,"epoch":4,"owner":{"name":"a","addr":"10.0.0.1:7","incarnation":3}}`
)

var deep = strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

// oddControl are records of the control topic as another writer may leave them: key, what is replaced in
// the good record, and by what.
var oddControl = map[string][3]string{
	"port 0":                      {"agent/a", ":7", ":0"},
	"port 65536":                  {"agent/a", ":7", ":65536"},
	"port -1":                     {"agent/a", ":7", ":-1"},
	"address without a port":      {"agent/a", ":7", ""},
	"address of another type":     {"agent/a", `"10.0.0.1:7"`, "7"},
	"another agent's name":        {"agent/b", "", ""},
	"another coordinator's name":  {"coordinator/b", "", ""},
	"name that is no UTF-8":       {"agent/\xff", `"a"`, "\"\xff\""},
	"incarnation beyond the type": {"agent/a", ":3,", ":18446744073709551616,"},
	"negative incarnation":        {"coordinator/a", ":3,", ":-1,"},
	"fraction":                    {"agent/a", ":3,", ":3.5,"},
	"huge share":                  {"coordinator/a", "0.5", "1e300"},
	"negative share":              {"coordinator/a", "0.5", "-1"},
	"largest capacity":            {"agent/a", "1000", "9223372036854775807"},
	"negative capacity":           {"agent/a", "1000", "-1"},
	"deep nesting":                {"agent/a", `{"cpu":1000}`, deep},
	"largest epoch":               {"shard/3", `"epoch":4`, `"epoch":18446744073709551615`},
	"epoch beyond the type":       {"shard/3", `"epoch":4`, `"epoch":18446744073709551616`},
	"another shard":               {"shard/2", "", ""},
	"negative shard":              {"shard/-1", `"shard":3`, `"shard":-1`},
	"shard beyond the topic":      {"shard/32", `"shard":3`, `"shard":32`},
	"shard of another type":       {"shard/3", `"shard":3`, `"shard":"3"`},
	"owner without a port":        {"shard/3", ":7", ":0"},
	"owner without a name":        {"shard/3", `"a"`, `""`},
	"empty":                       {"shard/3", goodClaim, ""},
}

func oddRecord(odd [3]string) (key string, value []byte) {
	good := goodAddress
	if strings.HasPrefix(odd[0], shardPrefix) {
		good = goodClaim
	}
	return odd[0], []byte(strings.Replace(good, odd[1], odd[2], 1))
}

// Guards against a record of another writer that replaces what is known of a process, or takes a shard
// with an epoch that no later claim exceeds.
func TestOddControlRecordsAreRefused(t *testing.T) {
	for name, odd := range oddControl {
		key, value := oddRecord(odd)
		if r, err := DecodeControl(key, value); err == nil {
			t.Errorf("%s: taken: %+v %+v %+v", name, r.Agent, r.Coordinator, r.Claim)
		}
	}
	for key, value := range map[string]string{"agent/a": goodAddress, "coordinator/a": goodAddress, "shard/3": goodClaim} {
		if r, err := DecodeControl(key, []byte(value)); err != nil || r.Agent == nil && r.Coordinator == nil && r.Claim == nil {
			t.Errorf("%s: %+v, error %v", key, r, err)
		}
	}
}

// Guards against a record that ends the process, or passes with numbers out of range.
func FuzzControl(f *testing.F) {
	for _, odd := range oddControl {
		key, value := oddRecord(odd)
		f.Add(key, value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r, err := DecodeControl(key, value)
		if err != nil {
			return
		}
		for _, a := range []*Address{r.Agent, r.Coordinator} {
			if a != nil && (a.Addr.Port() == 0 || !strings.HasSuffix(key, a.Name)) {
				t.Errorf("%q: address %+v", key, a)
			}
		}
		if c := r.Claim; c != nil && (c.Epoch > MaxEpoch || key != ClaimKey(c.Shard)) {
			t.Errorf("%q: claim %+v", key, c)
		}
	})
}
