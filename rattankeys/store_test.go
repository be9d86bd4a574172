package rattankeys

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattansettings"
)

// ioTimeout limits the time of a blocked read or write.
const ioTimeout = 5 * time.Second

func newAuthority(tb testing.TB, name string) *Authority {
	tb.Helper()
	authority, err := MakeAuthority(time.Now().Add(-24*time.Hour), name, 1000*time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return authority
}

// writeCertificate writes new files for the identity, valid for an hour from
// issuedAt. The certificate can be used by servers and clients, whatever its
// role.
func writeCertificate(tb testing.TB, directory string, authority *Authority, identity Identity, issuedAt time.Time) rattansettings.Keys {
	tb.Helper()
	return writeCertificateFor(tb, directory, authority, identity, issuedAt, x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth)
}

func writeCertificateFor(tb testing.TB, directory string, authority *Authority, identity Identity, issuedAt time.Time, usages ...x509.ExtKeyUsage) rattansettings.Keys {
	tb.Helper()
	pair, err := makeCertificate(issuedAt, authority, CertificateRequest{Identity: identity, Lifetime: time.Hour}, usages)
	if err != nil {
		tb.Fatal(err)
	}
	keys, err := WriteFiles(directory, "own", authority, pair)
	if err != nil {
		tb.Fatal(err)
	}
	return keys
}

func openStore(tb testing.TB, keys rattansettings.Keys, now time.Time) *Store {
	tb.Helper()
	store, err := Open(now, Options{Keys: keys})
	if err != nil {
		tb.Fatal(err)
	}
	return store
}

func newStore(tb testing.TB, authority *Authority, role Role, name string) *Store {
	tb.Helper()
	return openStore(tb, writeCertificate(tb, tb.TempDir(), authority, Identity{Role: role, Name: name}, time.Now()), time.Now())
}

// startEchoServer starts a server that echoes all data and returns its address.
func startEchoServer(tb testing.TB, config *tls.Config) string {
	tb.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				_, _ = io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(address string, config *tls.Config) (*tls.Conn, error) {
	dialer := &net.Dialer{Timeout: ioTimeout}
	connection, err := tls.DialWithDialer(dialer, "tcp", address, config)
	if err != nil {
		return nil, err
	}
	return connection, connection.SetDeadline(time.Now().Add(ioTimeout))
}

func sendPing(connection net.Conn) error {
	if _, err := connection.Write([]byte("ping")); err != nil {
		return err
	}
	reply := make([]byte, 4)
	if _, err := io.ReadFull(connection, reply); err != nil {
		return err
	}
	if string(reply) != "ping" {
		return errors.Errorf("got %q, want \"ping\"", reply)
	}
	return nil
}

// dialAndPing connects to the server and expects an echo.
func dialAndPing(address string, config *tls.Config) (*tls.Conn, error) {
	connection, err := dial(address, config)
	if err != nil {
		return nil, err
	}
	return connection, sendPing(connection)
}

// TestPeers guards against a server that accepts a client whose certificate is
// unknown, expired or has the wrong role, and against a client that accepts
// such a server.
func TestPeers(t *testing.T) {
	trustedAuthority, unknownAuthority := newAuthority(t, "ours"), newAuthority(t, "theirs")
	past := time.Now().Add(-3 * time.Hour)
	future := time.Now().Add(time.Hour)
	storeIssuedAt := func(issuedAt time.Time) *Store {
		return openStore(t, writeCertificate(t, t.TempDir(), trustedAuthority, Identity{Role: RoleInstance, Name: "b"}, issuedAt), issuedAt)
	}
	instance := newStore(t, trustedAuthority, RoleInstance, "a")
	oldVersion := instance.ClientConfig("")
	oldVersion.MinVersion, oldVersion.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	anonymous := instance.ClientConfig("")
	anonymous.GetClientCertificate = nil
	instanceOnly := []Role{RoleInstance}
	for _, test := range []struct {
		name     string
		roles    []Role
		server   *Store
		client   *tls.Config
		accepted bool
	}{
		{"instance", instanceOnly, instance, newStore(t, trustedAuthority, RoleInstance, "b").ClientConfig("a"), true},
		{"caller", []Role{RoleCaller, RoleOperator}, instance, newStore(t, trustedAuthority, RoleCaller, "app").ClientConfig(""), true},
		{"operator", []Role{RoleCaller, RoleOperator}, instance, newStore(t, trustedAuthority, RoleOperator, "eva").ClientConfig(""), true},
		{"caller as instance", instanceOnly, instance, newStore(t, trustedAuthority, RoleCaller, "app").ClientConfig("a"), false},
		{"operator as instance", instanceOnly, instance, newStore(t, trustedAuthority, RoleOperator, "eva").ClientConfig("a"), false},
		{"instance as caller", []Role{RoleCaller}, instance, newStore(t, trustedAuthority, RoleInstance, "b").ClientConfig("a"), false},
		{"client of unknown authority", instanceOnly, instance, withoutPeerVerification(newStore(t, unknownAuthority, RoleInstance, "b").ClientConfig("a")), false},
		{"expired client", instanceOnly, instance, storeIssuedAt(past).ClientConfig("a"), false},
		{"client certificate not yet valid", instanceOnly, instance, storeIssuedAt(future).ClientConfig("a"), false},
		{"no client certificate", instanceOnly, instance, anonymous, false},
		{"client with TLS 1.2", instanceOnly, instance, oldVersion, false},
		{"server of unknown authority", instanceOnly, newStore(t, unknownAuthority, RoleInstance, "a"), instance.ClientConfig("a"), false},
		{"expired server", instanceOnly, storeIssuedAt(past), instance.ClientConfig("b"), false},
		{"server with another name", instanceOnly, newStore(t, trustedAuthority, RoleInstance, "c"), instance.ClientConfig("a"), false},
		{"server with a client certificate", instanceOnly, openStore(t, writeCertificateFor(t, t.TempDir(), trustedAuthority, Identity{Role: RoleInstance, Name: "a"}, time.Now(), x509.ExtKeyUsageClientAuth), time.Now()), instance.ClientConfig("a"), false},
		{"caller as server", instanceOnly, newStore(t, trustedAuthority, RoleCaller, "a"), instance.ClientConfig("a"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startEchoServer(t, test.server.ServerConfig(test.roles))
			connection, err := dialAndPing(address, test.client)
			qt.Assert(t, err == nil, qt.Equals, test.accepted, qt.Commentf("%v", err))
			if test.accepted {
				_ = connection.Close()
			}
		})
	}
}

// TestServerVersion guards against a client that accepts a version below TLS
// 1.3.
func TestServerVersion(t *testing.T) {
	authority := newAuthority(t, "ours")
	instance := newStore(t, authority, RoleInstance, "a")
	config := instance.serverConfig([]Role{RoleInstance}, nil)
	config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err := dialAndPing(startEchoServer(t, config), instance.ClientConfig("a"))
	qt.Assert(t, err, qt.ErrorMatches, ".*protocol version.*")
}

// TestMakeCertificate guards against issuing a certificate for callers or
// operators that is valid for servers.
func TestMakeCertificate(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(t, "ours")
	for role := range roleCount {
		pair, err := MakeCertificate(time.Now(), authority, CertificateRequest{Identity: Identity{Role: role, Name: "a"}, Lifetime: time.Hour})
		c.Assert(err, qt.IsNil)
		certificate, err := tls.X509KeyPair(pair.CertificatePEM, pair.KeyPEM)
		c.Assert(err, qt.IsNil)
		c.Check(slices.Contains(certificate.Leaf.ExtKeyUsage, x509.ExtKeyUsageServerAuth), qt.Equals, role == RoleInstance)
	}
}

// TestReloadSameTimestamp guards against missing a replacement that has the
// same modification times and sizes as the previous files.
func TestReloadSameTimestamp(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(t, "ours")
	directory := t.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	now := time.Now()
	keys := writeCertificate(t, directory, authority, identity, now)
	resetTimestamps := func() [3]fileVersion {
		for _, path := range []string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile} {
			c.Assert(os.Chtimes(path, now, now), qt.IsNil)
		}
		versions, err := (&Store{options: Options{Keys: keys}}).fileVersions()
		c.Assert(err, qt.IsNil)
		return versions
	}
	before := resetTimestamps()
	store := openStore(t, keys, now)
	writeCertificate(t, directory, authority, identity, now)
	// The size of a signature varies by a few bytes.
	for range 200 {
		if resetTimestamps() == before {
			break
		}
		writeCertificate(t, directory, authority, identity, now)
	}
	c.Assert(resetTimestamps(), qt.Equals, before)
	changed, err := store.Reload(now.Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	// Reading the files now would fail, because the certificate has expired.
	changed, err = store.Reload(now.Add(2 * time.Hour))
	c.Assert(err, qt.IsNil, qt.Commentf("unchanged files were read again"))
	c.Assert(changed, qt.IsFalse)
}

// withoutPeerVerification disables the verification by the client, so that the
// server must reject the connection.
func withoutPeerVerification(config *tls.Config) *tls.Config {
	config.VerifyConnection = nil
	return config
}

// TestReplacement guards against a replacement of the files that closes open
// connections, and against new connections, as server or client, that still use
// the previous files.
func TestReplacement(t *testing.T) {
	c := qt.New(t)
	oldAuthority, otherAuthority := newAuthority(t, "old"), newAuthority(t, "other")
	directory := t.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	store := openStore(t, writeCertificate(t, directory, oldAuthority, identity, time.Now()), time.Now())
	config := store.ServerConfig([]Role{RoleInstance})
	address := startEchoServer(t, config)
	client := newStore(t, oldAuthority, RoleInstance, "b")
	openConnection, err := dialAndPing(address, client.ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer openConnection.Close()

	writeCertificate(t, directory, oldAuthority, identity, time.Now())
	changed, err := store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	newConnection, err := dialAndPing(address, client.ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer newConnection.Close()
	c.Assert(serialNumber(newConnection), qt.Not(qt.Equals), serialNumber(openConnection))
	c.Assert(sendPing(openConnection), qt.IsNil)

	writeCertificate(t, directory, otherAuthority, identity, time.Now())
	_, err = store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	_, err = dialAndPing(address, client.ClientConfig("a"))
	c.Assert(err, qt.IsNotNil)
	_, err = dialAndPing(address, withoutPeerVerification(client.ClientConfig("a")))
	c.Assert(err, qt.IsNotNil)
	connection, err := dialAndPing(address, newStore(t, otherAuthority, RoleInstance, "b").ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	c.Assert(sendPing(openConnection), qt.IsNil)

	otherServer := startEchoServer(t, newStore(t, otherAuthority, RoleInstance, "c").ServerConfig([]Role{RoleInstance}))
	outgoing, err := dialAndPing(otherServer, store.ClientConfig("c"))
	c.Assert(err, qt.IsNil, qt.Commentf("outgoing connection with the new key"))
	defer outgoing.Close()
}

func serialNumber(connection *tls.Conn) string {
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestReload guards against a reload that discards the credentials when the
// files are only partly replaced, and against a failed reload that is not
// retried.
func TestReload(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(t, "ours")
	directory := t.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	keys := writeCertificate(t, directory, authority, identity, time.Now())
	store := openStore(t, keys, time.Now())
	c.Assert(store.Identity(), qt.Equals, identity)
	end := store.NotAfter()
	changed, err := store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)

	oldKey, err := os.ReadFile(keys.KeyFile)
	c.Assert(err, qt.IsNil)
	writeCertificate(t, directory, authority, identity, time.Now().Add(2*time.Second))
	newKey, err := os.ReadFile(keys.KeyFile)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(keys.KeyFile, oldKey, 0o600), qt.IsNil)
	for range 2 {
		_, err = store.Reload(time.Now())
		c.Assert(errors.Is(err, ErrUnusableFiles), qt.IsTrue)
		c.Assert(err, qt.ErrorMatches, keys.CertificateFile+" with "+keys.KeyFile+": .*")
		c.Assert(store.NotAfter(), qt.Equals, end)
	}
	c.Assert(os.WriteFile(keys.KeyFile, newKey, 0o600), qt.IsNil)
	changed, err = store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(store.NotAfter().After(end), qt.IsTrue)

	c.Assert(os.Remove(keys.AuthorityFile), qt.IsNil)
	_, err = store.Reload(time.Now())
	c.Assert(errors.Is(err, ErrUnusableFiles), qt.IsTrue)
}

// TestOpenErrors guards against loading files that every peer would reject,
// which would be noticed only when connections fail.
func TestOpenErrors(t *testing.T) {
	c := qt.New(t)
	trustedAuthority, unknownAuthority := newAuthority(t, "ours"), newAuthority(t, "theirs")
	identity := Identity{Role: RoleInstance, Name: "a"}
	keys := writeCertificate(t, t.TempDir(), trustedAuthority, identity, time.Now())
	_, err := Open(time.Now().Add(2*time.Hour), Options{Keys: keys})
	c.Check(errors.Is(err, ErrUnusableFiles), qt.IsTrue, qt.Commentf("expired: %v", err))
	c.Assert(os.WriteFile(keys.AuthorityFile, unknownAuthority.CertificatePEM, 0o600), qt.IsNil)
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(errors.Is(err, ErrUnusableFiles), qt.IsTrue, qt.Commentf("other authority: %v", err))
	c.Assert(os.WriteFile(keys.AuthorityFile, []byte("none"), 0o600), qt.IsNil)
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(err, qt.ErrorMatches, ".*: no PEM certificate")

	keys = writeCertificate(t, t.TempDir(), trustedAuthority, Identity{Role: RoleInstance}, time.Now())
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(errors.Is(err, ErrWrongIdentity), qt.IsTrue, qt.Commentf("no name: %v", err))
	keys = writeCertificate(t, t.TempDir(), trustedAuthority, Identity{Role: roleCount, Name: "a"}, time.Now())
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(errors.Is(err, ErrWrongIdentity), qt.IsTrue, qt.Commentf("unknown role: %v", err))
}

// TestIdentityOf guards against requests that are attributed to the wrong
// identity or to none.
func TestIdentityOf(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(t, "ours")
	address := startEchoServer(t, newStore(t, authority, RoleInstance, "a").ServerConfig([]Role{RoleCaller}))
	connection, err := dialAndPing(address, newStore(t, authority, RoleCaller, "app").ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	identity, err := IdentityOf(connection.ConnectionState())
	c.Assert(err, qt.IsNil)
	c.Assert(identity, qt.Equals, Identity{Role: RoleInstance, Name: "a"})
	c.Assert(errors.Is(identity.Require(RoleCaller, RoleOperator), ErrWrongIdentity), qt.IsTrue)
	_, err = IdentityOf(tls.ConnectionState{})
	c.Assert(errors.Is(err, ErrWrongIdentity), qt.IsTrue)
}

// pollInterval is the interval of the Reload calls in BenchmarkReplacement.
const pollInterval = 100 * time.Millisecond

// BenchmarkReplacement measures the time from the replacement of the files to
// the first completed handshake with the new certificate.
func BenchmarkReplacement(b *testing.B) {
	authority := newAuthority(b, "ours")
	directory := b.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	store := openStore(b, writeCertificate(b, directory, authority, identity, time.Now()), time.Now())
	address := startEchoServer(b, store.ServerConfig([]Role{RoleInstance}))
	client := newStore(b, authority, RoleInstance, "b").ClientConfig("a")
	stop := startPolling(store)
	defer stop()
	var maxDelay time.Duration
	for b.Loop() {
		b.StopTimer()
		before := presentedSerial(b, address, client)
		writeCertificate(b, directory, authority, identity, time.Now())
		replacedAt := time.Now()
		b.StartTimer()
		for presentedSerial(b, address, client) == before {
			time.Sleep(time.Millisecond)
		}
		maxDelay = max(maxDelay, time.Since(replacedAt))
	}
	b.ReportMetric(float64(maxDelay.Milliseconds()), "ms-longest")
}

func startPolling(store *Store) (stop func()) {
	ticker := time.NewTicker(pollInterval)
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for {
			select {
			case now := <-ticker.C:
				_, _ = store.Reload(now)
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
		<-finished
	}
}

func presentedSerial(b *testing.B, address string, client *tls.Config) string {
	connection, err := dialAndPing(address, client)
	if err != nil {
		b.Fatal(err)
	}
	defer connection.Close()
	return serialNumber(connection)
}

// BenchmarkReload measures a Reload of unchanged files.
func BenchmarkReload(b *testing.B) {
	store := newStore(b, newAuthority(b, "ours"), RoleInstance, "a")
	now := time.Now().Add(time.Minute)
	for b.Loop() {
		if _, err := store.Reload(now); err != nil {
			b.Fatal(err)
		}
	}
}
