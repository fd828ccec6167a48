package main

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"carobpulley/inner"
	"carobpulley/setup"
)

// config holds the values of entryd's settings.
type config struct {
	name         string
	domain       string
	listen       netip.AddrPort
	innerListen  netip.AddrPort
	adminListen  netip.AddrPort
	peers        map[string]netip.AddrPort
	logAddr      netip.AddrPort
	logRetention time.Duration
	operatorHash [sha256.Size]byte
	drainTimeout time.Duration
	seed         int
	level        zerolog.Level
	tls          inner.TLS
}

// Limits of the settings.
const (
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
	maxSeed             = 1 << 30
	// minLogRetention covers the longest deadline and the retention of keys
	// (25 min), since a takeover reads the journal.
	minLogRetention = 30 * time.Minute
	maxLogRetention = 30 * 24 * time.Hour
)

func settings(cfg *config) *setup.Settings {
	s := &setup.Settings{}
	s.Name(&cfg.name, "name", "", "name of this entry in the catalogue")
	s.Name(&cfg.domain, "domain", "", "failure domain of this host")
	s.Listen(&cfg.listen, "listen", "127.0.0.1:7101", "address of the callers' API")
	s.Listen(&cfg.innerListen, "inner-listen", "127.0.0.1:7111", "address for other entries and agents")
	s.Listen(&cfg.adminListen, "admin-listen", "127.0.0.1:7121", "address of the operators' API and metrics")
	s.Func("peers", "", "inner addresses of the other entries, as name=ip:port,name=ip:port",
		"different names with IP addresses and ports, such as entry-2=10.0.0.2:7111", cfg.setPeers)
	s.Addr(&cfg.logAddr, "log-addr", "127.0.0.1:7100", "address of the platform's log service", true)
	s.Duration(&cfg.logRetention, "log-retention", time.Hour, "how long the log keeps records",
		minLogRetention, maxLogRetention)
	s.Func("operator-token-sha256", "", "SHA-256 of the operators' bearer token, in hexadecimal",
		"64 hexadecimal digits", cfg.setOperatorHash)
	s.Duration(&cfg.drainTimeout, "drain-limit", defaultDrainTimeout, "limit of a graceful stop", time.Second, maxDrainTimeout)
	s.Int(&cfg.seed, "seed", 0, "seed of tie breaks and jitter; 0 takes one from the clock", 0, maxSeed)
	s.LogLevel(&cfg.level)
	s.TLS(&cfg.tls)
	s.RequireTLSOffLoopback(&cfg.tls, "inner-listen", &cfg.innerListen)
	s.RequireTLSOffLoopback(&cfg.tls, "admin-listen", &cfg.adminListen)
	return s
}

func (c *config) setPeers(v string) bool {
	c.peers = make(map[string]netip.AddrPort)
	if v == "" {
		return true
	}
	for item := range strings.SplitSeq(v, ",") {
		name, addr, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok || name == "" || len(name) > inner.MaxNameBytes {
			return false
		}
		a, err := netip.ParseAddrPort(addr)
		if err != nil || a.Port() == 0 {
			return false
		}
		if _, exists := c.peers[name]; exists {
			return false
		}
		c.peers[name] = a
	}
	return true
}

func (c *config) setOperatorHash(v string) bool {
	b, err := hex.DecodeString(v)
	if err != nil || len(b) != sha256.Size {
		return false
	}
	copy(c.operatorHash[:], b)
	return true
}
