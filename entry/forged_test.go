package entry_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/oper"
	"carobpulley/wire"
)

// dispatchTo returns a dispatch that the agent would accept and start.
func (c *cluster) dispatchTo(ag *testAgent, key string) carobpulley.Entering {
	c.t.Helper()
	r, err := c.client.Agent(ag.relay.addr).Fence(c.ctx, connect.NewRequest(&wire.FenceRequest{Owner: "entry-1"}))
	if err != nil {
		c.t.Fatal(err)
	}
	id := carobpulley.JobID{Member: "rentals", Key: key}
	return carobpulley.Entering{
		Dispatch: carobpulley.Dispatch{
			ID:          carobpulley.TaskID{Job: id},
			Attempt:     1,
			Shard:       carobpulley.ShardOf(id, carobpulley.Shards),
			Epoch:       c.entries["entry-1"].Status().Shards[carobpulley.ShardOf(id, carobpulley.Shards)].Epoch,
			Endpoint:    ag.id,
			Incarnation: r.Msg.GetIncarnation(),
			Service:     "check",
			Payload:     []byte(key),
			Deadline:    time.Now().Add(time.Minute),
		},
		Incarnation:   r.Msg.GetIncarnation(),
		Echo:          r.Msg.GetAgentTime(),
		ConfigVersion: 1,
		InService:     true,
	}
}

// send sends a dispatch to an agent and returns the answer or the error.
func (c *cluster) send(ag *testAgent, m *wire.DispatchRequest) (inner.DispatchAnswer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	r, err := c.client.Agent(ag.relay.addr).Dispatch(ctx, connect.NewRequest(m))
	if err != nil {
		return inner.DispatchAnswer{}, err
	}
	return inner.DispatchAnswerFromWire(r.Msg)
}

// Guards against an agent that starts a task for a forged, outdated, replayed or
// malformed dispatch, or that rejects one with the wrong error kind.
func TestForgedDispatches(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.awaitOwners()
		ag := c.agents[0]
		tests := map[string]struct {
			change func(*carobpulley.Entering)
			kind   carobpulley.Kind
		}{
			"older incarnation":  {func(e *carobpulley.Entering) { e.Incarnation-- }, carobpulley.KindWrongAgent},
			"other endpoint":     {func(e *carobpulley.Entering) { e.Dispatch.Endpoint = "ep-2" }, carobpulley.KindWrongAgent},
			"stale echo":         {func(e *carobpulley.Entering) { e.Echo -= int64(2 * time.Second) }, carobpulley.KindStaleEcho},
			"echo of the future": {func(e *carobpulley.Entering) { e.Echo += int64(time.Hour) }, carobpulley.KindStaleEcho},
			"passed deadline":    {func(e *carobpulley.Entering) { e.Dispatch.Deadline = time.Now().Add(-time.Second) }, carobpulley.KindDeadline},
			"other service":      {func(e *carobpulley.Entering) { e.Dispatch.Service = "payment" }, carobpulley.KindImpossible},
			"no key":             {func(e *carobpulley.Entering) { e.Dispatch.ID.Job.Key = "" }, carobpulley.KindInvalid},
			"shard out of range": {func(e *carobpulley.Entering) { e.Dispatch.Shard = 1 << 20 }, carobpulley.KindInvalid},
		}
		for name, tt := range tests {
			key := fmt.Sprintf("forged-%x", name)
			valid := c.dispatchTo(ag, key)
			tt.change(&valid)
			a, err := c.send(ag, inner.DispatchToWire(valid))
			refusal := a.Refusal
			if err != nil {
				refusal = inner.AsError(err)
			}
			if refusal == nil || refusal.Kind != tt.kind || !refusal.NotRun {
				t.Errorf("%s: phase %q, %#v; want kind %s", name, a.Phase, refusal, tt.kind)
			}
			if n := c.starts.payloadStarts(key); n != 0 {
				t.Errorf("%s: started %d times", name, n)
			}
		}
		valid := inner.DispatchToWire(c.dispatchTo(ag, "replayed"))
		valid.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 9999, protowire.VarintType), 1))
		for range 5 {
			if a, err := c.send(ag, valid); err != nil || a.Phase != carobpulley.PhaseDone {
				t.Errorf("a replayed dispatch: phase %q, %v", a.Phase, err)
			}
		}
		if n := c.starts.payloadStarts("replayed"); n != 1 {
			t.Errorf("the replayed dispatch started %d times", n)
		}
		c.runJobs("after", 3, 20)

		// This comes last: from here on the agent rejects the shard's real owner.
		newer := c.dispatchTo(ag, "older")
		newer.Dispatch.Epoch = 1 << 20
		newer.Dispatch.Payload = []byte("newer")
		if a, err := c.send(ag, inner.DispatchToWire(newer)); err != nil || a.Phase != carobpulley.PhaseDone {
			t.Errorf("a dispatch under a newer epoch: %s, %v", a.Phase, err)
		}
		older := c.dispatchTo(ag, "older")
		older.Dispatch.ID.Index = 1
		older.Dispatch.Epoch = 1<<20 - 1
		a, err := c.send(ag, inner.DispatchToWire(older))
		if err != nil || a.Refusal == nil || a.Refusal.Kind != carobpulley.KindStaleEpoch || c.starts.payloadStarts("older") != 0 {
			t.Errorf("a dispatch under an older epoch: %s, %v, %v", a.Phase, a.Refusal, err)
		}
		c.starts.checkNoRepeats(t)
	})
}

// Guards against malformed protocol messages that start a task, crash a process or
// get an answer without an error status.
func TestMalformedBytes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.awaitOwners()
		valid, err := proto.Marshal(inner.DispatchToWire(c.dispatchTo(c.agents[0], "bytes")))
		if err != nil {
			t.Fatal(err)
		}
		agentURL := "http://" + c.agents[0].relay.addr.String() + "/carob.v1.AgentService/"
		entryURL := "http://" + c.addrs["entry-1"].String() + "/carob.v1.EntryService/"
		transport := &http.Transport{DialContext: c.net.dial}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport}
		post := func(what, url string, body []byte) {
			r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, url, bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Content-Type", "application/proto")
			res, err := client.Do(r)
			if err != nil {
				// The server may close the connection before it has read all of an
				// oversized body.
				return
			}
			defer func() { _ = res.Body.Close() }()
			if res.StatusCode/100 == 2 {
				t.Errorf("%s to %s: status %d", what, url, res.StatusCode)
			}
		}
		for _, url := range []string{
			agentURL + "Dispatch", agentURL + "Query", agentURL + "CancelTask", agentURL + "Fence",
			entryURL + "Submit", entryURL + "Lookup", entryURL + "Cancel", entryURL + "Contact",
			entryURL + "Witness", entryURL + "Yield", entryURL + "Publish", entryURL + "Announce",
		} {
			post("truncated", url, valid[:len(valid)-3])
			post("garbage", url, []byte{0xff, 0xff, 0xff, 0xff, 0x01})
			post("empty", url, nil)
			post("oversized", url, make([]byte, inner.MaxMessageBytes+1))
		}
		if n := c.starts.payloadStarts("bytes"); n != 0 {
			t.Errorf("a malformed dispatch started %d times", n)
		}
		c.runJobs("after", 3, 20)
		c.starts.checkNoRepeats(t)
	})
}

// Guards against entries that accept forged or outdated messages from agents and
// other entries and lose or repeat work because of them.
func TestForgedMessagesToEntries(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.awaitOwners()
		owner := c.ownerOf("target")
		calls := c.client.Entry(c.addrs[owner])
		id := carobpulley.JobID{Member: "rentals", Key: "target"}
		shard := carobpulley.ShardOf(id, carobpulley.Shards)

		r, err := calls.Submit(c.ctx, connect.NewRequest(inner.SubmissionToWire(inner.Submission{
			Spec: spec("target", 3), Receiver: "entry-1", Epoch: 1 << 20,
		})))
		if err != nil {
			t.Fatal(err)
		}
		_, err = inner.JobReplyFromWire(id, r.Msg)
		if e := inner.AsError(err); e.Kind != carobpulley.KindUnavailable || e.NotRun {
			t.Errorf("a submission under a forged epoch: %v", err)
		}

		for _, forged := range []inner.Announcement{
			// The id of another agent, from an older process.
			{Endpoint: carobpulley.Endpoint{ID: "ep-1", Incarnation: 1}},
			// The address of another agent, from an older process.
			{Endpoint: carobpulley.Endpoint{ID: "ep-99", Incarnation: 1}},
			// The departure of another agent, by an older process.
			{Endpoint: carobpulley.Endpoint{ID: "ep-2", Incarnation: 1}, Leaving: true},
		} {
			forged.Endpoint.Addr = c.agents[0].relay.addr
			forged.Endpoint.Domain = "d1"
			forged.Endpoint.Slots = 100
			forged.Endpoint.Services = []string{"check"}
			forged.AgentTime = int64(time.Hour)
			if _, err := calls.Announce(c.ctx, connect.NewRequest(inner.AnnouncementToWire(forged))); err != nil {
				t.Errorf("announcement of %s: %v", forged.Endpoint.ID, err)
			}
		}
		n := 0
		for _, p := range c.entries[owner].Status().Processes {
			if p.Role == oper.RoleAgent {
				n++
			}
		}
		if n != len(c.agents) {
			t.Errorf("%d endpoints in the roster after forged announcements, want %d", n, len(c.agents))
		}

		v, err := calls.Contact(c.ctx, connect.NewRequest(inner.ContactToWire(inner.Contact{Entry: "entry-9", Incarnation: 1})))
		if err != nil {
			t.Fatal(err)
		}
		if v.Msg.GetVouch() && v.Msg.GetEntry() != owner {
			t.Errorf("the answer to a contact came from %q", v.Msg.GetEntry())
		}
		older, err := calls.Yield(c.ctx, connect.NewRequest(inner.YieldingToWire(inner.Yielding{
			Entry:  "entry-9",
			Shards: []carobpulley.Ownership{{Shard: shard, Owner: "entry-9", Epoch: 1}},
		})))
		if err == nil && older.Msg.GetYielded() && c.ownerOf("target") != owner {
			t.Error("the owner yielded its shard to an older epoch")
		}
		c.runJobs("target", 6, 20)
		c.starts.checkNoRepeats(t)
	})
}

// Guards against a member that can read or cancel another member's job, and
// against the acceptance of a token that is not in the catalogue.
func TestMembersAreApart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 5*time.Millisecond)
		c.awaitOwners()
		n := c.entries["entry-1"]
		if _, err := n.Submit(c.ctx, holdSpec("private", 3), false); err != nil {
			t.Fatal(err)
		}
		c.awaitStart(holdPayload + "private/0")
		other := carobpulley.JobID{Member: "others", Key: "private"}
		kind := func(err error) carobpulley.Kind {
			var e *carobpulley.Error
			errors.As(err, &e)
			if e == nil {
				return ""
			}
			return e.Kind
		}
		for name, n := range c.entries {
			if a, err := n.Lookup(c.ctx, other, false); kind(err) != carobpulley.KindNotFound {
				t.Errorf("%s: another member reads the job: %v, %v", name, a, err)
			}
			if a, err := n.Cancel(c.ctx, other); kind(err) != carobpulley.KindNotFound {
				t.Errorf("%s: another member cancels the job: %v, %v", name, a, err)
			}
			s := spec("foreign", 1)
			s.ID.Member = "others"
			if _, err := n.Submit(c.ctx, s, false); kind(err) != carobpulley.KindForbidden {
				t.Errorf("%s: another member submits to the service: %v", name, err)
			}
			r := request("check", "foreign", time.Minute)
			r.Member = "others"
			_, err := n.Call(c.ctx, r)
			for kind(err) == carobpulley.KindUnavailable && c.ctx.Err() == nil {
				// On a busy machine the entry has no majority for a while.
				time.Sleep(10 * time.Millisecond)
				_, err = n.Call(c.ctx, r)
			}
			if kind(err) != carobpulley.KindForbidden {
				t.Errorf("%s: another member calls the service: %v", name, err)
			}
			if m, err := n.Authenticate("guess"); kind(err) != carobpulley.KindUnauthenticated {
				t.Errorf("%s: an unknown token belongs to %q, %v", name, m, err)
			}
			if m, err := n.Authenticate("test"); err != nil || m != "rentals" {
				t.Errorf("%s: the member's token belongs to %q, %v", name, m, err)
			}
		}
		close(c.starts.release)
		a, err := n.Lookup(c.ctx, carobpulley.JobID{Member: "rentals", Key: "private"}, true)
		if err != nil || a.Outcome != carobpulley.OutcomeComplete {
			t.Errorf("outcome %s, %v", a.Outcome, err)
		}
		if n := c.starts.payloadStarts("foreign"); n != 0 {
			t.Errorf("a refused call started %d times", n)
		}
		c.starts.checkNoRepeats(t)
	})
}

// Guards against entries and agents that do not work over mutual TLS, or that
// serve a client without a certificate or over plain text.
func TestMutualTLSEndToEnd(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		settings := newTLS(t)
		c := newClusterWith(t, options{runTime: 5 * time.Millisecond, endpoints: 3, tls: settings})
		c.awaitOwners()
		c.runJobs("secret", 6, 20)
		pool := x509.NewCertPool()
		ca, err := os.ReadFile(settings.CA)
		if err != nil || !pool.AppendCertsFromPEM(ca) {
			t.Fatal("the CA cannot be read")
		}
		for what, tr := range map[string]*http.Transport{
			"without a certificate": {DialContext: c.net.dial, TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}},
			"in plain text":         {DialContext: c.net.dial},
		} {
			for _, addr := range []netip.AddrPort{c.addrs["entry-1"], c.agents[0].relay.addr} {
				scheme := "https"
				if tr.TLSClientConfig == nil {
					scheme = "http"
				}
				r, err := http.NewRequestWithContext(c.ctx, http.MethodPost, scheme+"://"+addr.String()+"/carob.v1.AgentService/Fence", nil)
				if err != nil {
					t.Fatal(err)
				}
				res, err := tr.RoundTrip(r)
				if err != nil {
					continue
				}
				_ = res.Body.Close()
				if res.StatusCode != http.StatusBadRequest || scheme == "https" {
					t.Errorf("a client %s got status %d", what, res.StatusCode)
				}
			}
		}
		c.starts.checkNoRepeats(t)
	})
}

// newTLS writes a CA and a certificate for 127.0.0.1 to files.
func newTLS(t *testing.T) inner.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	out := inner.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "cert.pem")}
	for path, block := range map[string]*pem.Block{
		out.Cert: {Type: "CERTIFICATE", Bytes: cert},
		out.Key:  {Type: "PRIVATE KEY", Bytes: der},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return out
}
