package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/inner"
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "CAROB_"

// EnvName returns the name of a flag's environment variable.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Settings is a list of variables that are set from flags and environment variables. The
// zero value is an empty list. The methods named after types add variables, whose values
// are valid after Read has returned nil.
type Settings struct {
	vars   []variable
	checks []func() *Problem
}

type variable struct {
	flag    string
	usage   string
	def     string
	allowed string
	isBool  bool
	// set parses and stores a value, and reports whether it is valid.
	set func(string) bool
}

// Flags returns the variables as flags of a command.
func (s *Settings) Flags() []cli.Flag {
	out := make([]cli.Flag, 0, len(s.vars))
	for _, v := range s.vars {
		usage := fmt.Sprintf("%s [$%s]", v.usage, EnvName(v.flag))
		if v.isBool {
			out = append(out, &cli.BoolFlag{Name: v.flag, Usage: usage, HideDefault: true})
			continue
		}
		out = append(out, &cli.StringFlag{Name: v.flag, Usage: usage, Value: v.def})
	}
	return out
}

// Read sets all variables from a parsed command. It returns nil or an *Error that lists
// all problems.
func (s *Settings) Read(cmd *cli.Command) error {
	var problems []Problem
	if arg := cmd.Args().First(); arg != "" {
		return &Error{
			Op:   "settings",
			Kind: carobpulley.KindInvalid,
			Err:  fmt.Errorf("unexpected argument %q", arg),
		}
	}
	for _, v := range s.vars {
		value := v.value(cmd)
		if !v.set(value) {
			problems = append(problems, Problem{Flag: v.flag, Value: value, Allowed: v.allowed})
		}
	}
	if len(problems) == 0 {
		problems = s.crossCheck()
	}
	if len(problems) > 0 {
		return &Error{Op: "settings", Kind: carobpulley.KindInvalid, Problems: problems}
	}
	return nil
}

func (s *Settings) crossCheck() []Problem {
	var problems []Problem
	for _, check := range s.checks {
		if p := check(); p != nil {
			problems = append(problems, *p)
		}
	}
	return problems
}

// value returns the value of the flag if it is set, else that of the environment variable,
// else the default.
func (v *variable) value(cmd *cli.Command) string {
	if cmd.IsSet(v.flag) {
		if v.isBool {
			return strconv.FormatBool(cmd.Bool(v.flag))
		}
		return cmd.String(v.flag)
	}
	if env, ok := os.LookupEnv(EnvName(v.flag)); ok {
		return env
	}
	return v.def
}

// Check adds a rule that validates several variables together. The rule runs only if each
// value is valid by itself, and returns nil or a problem.
func (s *Settings) Check(rule func() *Problem) {
	s.checks = append(s.checks, rule)
}

// Func adds a variable with a custom parser. set reports whether a value is valid, and
// allowed describes the valid values.
func (s *Settings) Func(flag, def, usage, allowed string, set func(string) bool) {
	s.add(variable{flag: flag, usage: usage, def: def, allowed: allowed, set: set})
}

// String adds a string of minLen to maxLen bytes.
func (s *Settings) String(dst *string, flag, def, usage string, minLen, maxLen int) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: fmt.Sprintf("%d to %d bytes", minLen, maxLen),
		set: func(v string) bool {
			*dst = v
			return len(v) >= minLen && len(v) <= maxLen
		},
	})
}

// Name adds a required name of at most inner.MaxNameBytes bytes.
func (s *Settings) Name(dst *string, flag, def, usage string) {
	s.String(dst, flag, def, usage, 1, inner.MaxNameBytes)
}

// Names adds a comma-separated list of at least minCount distinct names.
func (s *Settings) Names(dst *[]string, flag, def, usage string, minCount int) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: fmt.Sprintf("%d or more different names of 1 to %d bytes, separated by commas", minCount, inner.MaxNameBytes),
		set: func(v string) bool {
			*dst = split(v)
			invalid := func(n string) bool { return n == "" || len(n) > inner.MaxNameBytes }
			return len(*dst) >= minCount && !slices.ContainsFunc(*dst, invalid) && allDistinct(*dst)
		},
	})
}

// Choice adds a string that is one of choices.
func (s *Settings) Choice(dst *string, flag, def, usage string, choices ...string) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: "one of " + strings.Join(choices, ", "),
		set: func(v string) bool {
			*dst = v
			return slices.Contains(choices, v)
		},
	})
}

// Int adds an integer from minValue to maxValue.
func (s *Settings) Int(dst *int, flag string, def int, usage string, minValue, maxValue int) {
	s.add(variable{
		flag: flag, usage: usage, def: strconv.Itoa(def),
		allowed: fmt.Sprintf("a whole number from %d to %d", minValue, maxValue),
		set: func(v string) bool {
			n, err := strconv.Atoi(v)
			*dst = n
			return err == nil && n >= minValue && n <= maxValue
		},
	})
}

// Duration adds a duration such as 30s or 500ms, from minValue to maxValue.
func (s *Settings) Duration(dst *time.Duration, flag string, def time.Duration, usage string, minValue, maxValue time.Duration) {
	s.add(variable{
		flag: flag, usage: usage, def: def.String(),
		allowed: fmt.Sprintf("a duration from %s to %s", minValue, maxValue),
		set: func(v string) bool {
			d, err := time.ParseDuration(v)
			*dst = d
			return err == nil && d >= minValue && d <= maxValue
		},
	})
}

// Bool adds a boolean that is false by default.
func (s *Settings) Bool(dst *bool, flag, usage string) {
	s.add(variable{
		flag: flag, usage: usage, def: "false", isBool: true,
		allowed: "true or false",
		set: func(v string) bool {
			b, err := strconv.ParseBool(v)
			*dst = b
			return err == nil
		},
	})
}

// Listen adds an IP address and port to listen on; port 0 selects a free port.
func (s *Settings) Listen(dst *netip.AddrPort, flag, def, usage string) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: "an IP address and port such as 127.0.0.1:7301",
		set: func(v string) bool {
			a, err := netip.ParseAddrPort(v)
			*dst = a
			return err == nil
		},
	})
}

// Addr adds an address that other processes can connect to. It may be empty unless
// required is set.
func (s *Settings) Addr(dst *netip.AddrPort, flag, def, usage string, required bool) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: "a reachable IP address and port such as 127.0.0.1:7301",
		set: func(v string) bool {
			if v == "" {
				*dst = netip.AddrPort{}
				return !required
			}
			a, ok := reachable(v)
			*dst = a
			return ok
		},
	})
}

// Addrs adds a comma-separated list of at least minCount distinct addresses.
func (s *Settings) Addrs(dst *[]netip.AddrPort, flag, def, usage string, minCount int) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: fmt.Sprintf("%d or more different IP addresses with ports, separated by commas", minCount),
		set: func(v string) bool {
			*dst = nil
			for _, text := range split(v) {
				a, ok := reachable(text)
				if !ok {
					return false
				}
				*dst = append(*dst, a)
			}
			return len(*dst) >= minCount && allDistinct(*dst)
		},
	})
}

// BaseURL adds an http URL without user, query and fragment.
func (s *Settings) BaseURL(dst **url.URL, flag, def, usage string) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: "an http URL with a host, such as http://127.0.0.1:8080",
		set: func(v string) bool {
			u, err := url.Parse(v)
			*dst = u
			return err == nil && u.Scheme == "http" && u.Host != "" &&
				u.RawQuery == "" && u.Fragment == "" && u.User == nil
		},
	})
}

// LogLevel adds the lowest level of log lines that are written; info by default.
func (s *Settings) LogLevel(dst *zerolog.Level) {
	s.add(variable{
		flag: "log-level", usage: "lowest level of log lines that are written", def: "info",
		allowed: "one of debug, info, warn, error",
		set: func(v string) bool {
			l, err := zerolog.ParseLevel(v)
			*dst = l
			return err == nil && l >= zerolog.DebugLevel && l <= zerolog.ErrorLevel
		},
	})
}

// TLS adds the flags for mutual TLS between processes, and a check of the files.
func (s *Settings) TLS(dst *inner.TLS) {
	const maxLen = 4096
	s.String(&dst.Cert, "tls-cert", "", "PEM file with this process's certificate", 0, maxLen)
	s.String(&dst.Key, "tls-key", "", "PEM file with the certificate's key", 0, maxLen)
	s.String(&dst.CA, "tls-ca", "", "PEM file with the CA of all processes", 0, maxLen)
	s.String(&dst.Name, "tls-name", "", "name in the certificates of servers, if not their IP address", 0, maxLen)
	s.Bool(&dst.AllowPlain, "allow-plain", "permit connections without TLS on addresses other than loopback")
	s.Check(func() *Problem {
		if _, err := dst.Server(); err != nil {
			return &Problem{
				Flag:    "tls-cert",
				Value:   dst.Cert,
				Allowed: "readable files for certificate, key and CA, or none (" + err.Error() + ")",
			}
		}
		return nil
	})
}

// RequireTLSOffLoopback adds the rule that an address other than loopback requires TLS
// unless plain text is allowed.
func (s *Settings) RequireTLSOffLoopback(t *inner.TLS, flag string, addr *netip.AddrPort) {
	s.Check(func() *Problem {
		if !addr.IsValid() || t.CheckAddr(*addr) == nil {
			return nil
		}
		return &Problem{
			Flag:    flag,
			Value:   addr.String(),
			Allowed: "a loopback address, or --tls-cert, --tls-key and --tls-ca, or --allow-plain",
		}
	})
}

func (s *Settings) add(v variable) {
	s.vars = append(s.vars, v)
}

func split(v string) []string {
	if v == "" {
		return nil
	}
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func reachable(v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	ok := err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	return a, ok
}

func allDistinct[T comparable](list []T) bool {
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		if seen[v] {
			return false
		}
		seen[v] = true
	}
	return true
}
