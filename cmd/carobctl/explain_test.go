package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against lines of a request that are not found in log files, or not
// printed.
func TestExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.log")
	log := `{"process":"c","job":"0000000000000001","why":"overload","code":2,"time":6000,"message":"submitted"}` + "\n"
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args string
		code int
		want string
	}{
		{"explain 0000000000000001 " + file, exitOK, "code=2 why=overload"},
		{"--json explain 0000000000000001 " + file, exitOK, `"process":"c"`},
		{"explain 0000000000000002 " + file, exitFailed, "no line"},
		{"explain 0000000000000001", exitUsage, "at least one file"},
		{"explain 0000000000000001 " + file + ".none", exitUsage, "no such file"},
	} {
		var out, errs bytes.Buffer
		code := run(t.Context(), append([]string{"carobctl"}, strings.Fields(tt.args)...), &out, &errs)
		output := strings.ReplaceAll(out.String(), `": "`, `":"`) + errs.String()
		if code != tt.code || !strings.Contains(output, tt.want) {
			t.Errorf("%s: exit code %d, want %d; output %q, want %q in it", tt.args, code, tt.code, output, tt.want)
		}
	}
}
