//go:build review

package main

// oneB returns a runner's kind and rack; one runner is of the kind b.
func oneB(n int) []string {
	kind := "a"
	if n == 10 {
		kind = "b"
	}
	return []string{kind, "r1-" + string(rune('0'+n/3))}
}

// twoB returns a runner's kind and rack; two runners are of the kind b.
func twoB(n int) []string {
	kind := "a"
	if n >= 9 {
		kind = "b"
	}
	return []string{kind, "r1-" + string(rune('0'+n/3))}
}
