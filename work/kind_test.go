package work

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against kinds that outgrow the messages, and against two images that are taken for one.
func TestTaskKind(t *testing.T) {
	long := "registry/" + strings.Repeat("a", 100) + ":1"
	j := Job{Queue: Queue{Name: "quote"}, Steps: []Step{{}, {Image: "fare:2"}, {Image: long}, {Image: "other" + long}}}
	if first, second := j.TaskKind(0), j.TaskKind(1); first != "quote#0" || second != "fare:2" {
		t.Errorf("kinds %q and %q, want that of the queue and the image", first, second)
	}
	a, b := j.TaskKind(2), j.TaskKind(3)
	if a == b || max(len(a), len(b)) > MaxKindBytes || !strings.HasSuffix(a, "a:1") {
		t.Errorf("kinds %q and %q of long images", a, b)
	}
}

// Guards against a stored job that a coordinator of the earlier build takes for another one, or can't read, and
// against a job of the earlier build that isn't read.
func TestImageBesideTheEarlierBuild(t *testing.T) {
	const earlier = `{"id":"0000000000000001","queue":{"name":"q","service":"s"},"spec":"x","steps":[{"count":1,"need":{"cpu":5}}]}`
	j, err := DecodeJob([]byte(earlier))
	if err != nil {
		t.Fatal(err)
	}
	if before, err := json.Marshal(j); err != nil || string(before) != earlier {
		t.Errorf("encoding without an image: %s, %v", before, err)
	}
	digest := j.Digest()
	j.Steps[0].Image = "fare:2"
	if got := j.Digest(); got != digest {
		t.Errorf("digest %x with an image, which the earlier build doesn't know, want %x", got, digest)
	}
	j.Steps[0].Image = strings.Repeat("x", MaxImageBytes+1)
	if err := j.Check(); err == nil {
		t.Error("an image of any length is taken")
	}
}
