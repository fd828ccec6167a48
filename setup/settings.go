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

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "CAROB_"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Settings is a list of variables that are set from flags and environment. The
// zero value is empty; the methods named after types add variables, whose
// values are valid after Read has returned nil.
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
	// set parses a value and reports whether it is allowed.
	set func(string) bool
}

// Flags returns the flags for a command.
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

// Read sets all variables from a parsed command. It returns nil or an *Error
// with every problem.
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

// value prefers the flag, then the environment, then the default.
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

// Check adds a rule over several variables. It runs only if every single value
// is allowed, and returns nil or a problem.
func (s *Settings) Check(rule func() *Problem) {
	s.checks = append(s.checks, rule)
}

// Func adds a variable with a parser of its own. set reports whether the value
// is allowed; allowed says so in words.
func (s *Settings) Func(flag, def, usage, allowed string, set func(string) bool) {
	s.add(variable{flag: flag, usage: usage, def: def, allowed: allowed, set: set})
}

// String adds a text of least to most bytes.
func (s *Settings) String(dst *string, flag, def, usage string, least, most int) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: fmt.Sprintf("%d to %d bytes", least, most),
		set: func(v string) bool {
			*dst = v
			return len(v) >= least && len(v) <= most
		},
	})
}

// Name adds a required name.
func (s *Settings) Name(dst *string, flag, def, usage string) {
	s.String(dst, flag, def, usage, 1, inner.MaxNameBytes)
}

// Names adds a comma-separated list of least or more different names.
func (s *Settings) Names(dst *[]string, flag, def, usage string, least int) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: fmt.Sprintf("%d or more different names of 1 to %d bytes, separated by commas", least, inner.MaxNameBytes),
		set: func(v string) bool {
			*dst = split(v)
			long := func(n string) bool { return n == "" || len(n) > inner.MaxNameBytes }
			return len(*dst) >= least && !slices.ContainsFunc(*dst, long) && distinct(*dst)
		},
	})
}

// Choice adds one of several words.
func (s *Settings) Choice(dst *string, flag, def, usage string, words ...string) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: "one of " + strings.Join(words, ", "),
		set: func(v string) bool {
			*dst = v
			return slices.Contains(words, v)
		},
	})
}

// Int adds a whole number from least to most.
func (s *Settings) Int(dst *int, flag string, def int, usage string, least, most int) {
	s.add(variable{
		flag: flag, usage: usage, def: strconv.Itoa(def),
		allowed: fmt.Sprintf("a whole number from %d to %d", least, most),
		set: func(v string) bool {
			n, err := strconv.Atoi(v)
			*dst = n
			return err == nil && n >= least && n <= most
		},
	})
}

// Duration adds a duration such as 30s or 500ms, from least to most.
func (s *Settings) Duration(dst *time.Duration, flag string, def time.Duration, usage string, least, most time.Duration) {
	s.add(variable{
		flag: flag, usage: usage, def: def.String(),
		allowed: fmt.Sprintf("a duration from %s to %s", least, most),
		set: func(v string) bool {
			d, err := time.ParseDuration(v)
			*dst = d
			return err == nil && d >= least && d <= most
		},
	})
}

// Bool adds a switch that is off by default.
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

// Listen adds an IP address and port to listen on; port 0 picks a free one.
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

// Addr adds an address that other processes can reach; empty is allowed unless
// required.
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

// Addrs adds a comma-separated list of least or more different addresses.
func (s *Settings) Addrs(dst *[]netip.AddrPort, flag, def, usage string, least int) {
	s.add(variable{
		flag: flag, usage: usage, def: def,
		allowed: fmt.Sprintf("%d or more different IP addresses with ports, separated by commas", least),
		set: func(v string) bool {
			*dst = nil
			for _, part := range split(v) {
				a, ok := reachable(part)
				if !ok {
					return false
				}
				*dst = append(*dst, a)
			}
			return len(*dst) >= least && distinct(*dst)
		},
	})
}

// BaseURL adds an http URL without query or fragment.
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

// LogLevel adds the flag log-level.
func (s *Settings) LogLevel(dst *zerolog.Level) {
	s.add(variable{
		flag: "log-level", usage: "least level of log lines", def: "info",
		allowed: "one of debug, info, warn, error",
		set: func(v string) bool {
			l, err := zerolog.ParseLevel(v)
			*dst = l
			return err == nil && l >= zerolog.DebugLevel && l <= zerolog.ErrorLevel
		},
	})
}

// TLS adds the flags of mutual TLS between processes and checks the files.
func (s *Settings) TLS(dst *inner.TLS) {
	const most = 4096
	s.String(&dst.Cert, "tls-cert", "", "PEM file with this process's certificate", 0, most)
	s.String(&dst.Key, "tls-key", "", "PEM file with the certificate's key", 0, most)
	s.String(&dst.CA, "tls-ca", "", "PEM file with the CA of all processes", 0, most)
	s.String(&dst.Name, "tls-name", "", "name in the certificates of servers, if not their IP address", 0, most)
	s.Bool(&dst.AllowPlain, "allow-plain", "permit plain text on addresses other than loopback")
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

// PlainCheck adds the rule that plain text is used on loopback only.
func (s *Settings) PlainCheck(t *inner.TLS, flag string, addr *netip.AddrPort) {
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

func distinct[T comparable](list []T) bool {
	seen := make(map[T]bool, len(list))
	for _, v := range list {
		if seen[v] {
			return false
		}
		seen[v] = true
	}
	return true
}
