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

// ioTimeout bounds an exchange that hangs.
const ioTimeout = 5 * time.Second

func authority(tb testing.TB, name string) *Authority {
	tb.Helper()
	made, err := MakeAuthority(time.Now().Add(-24*time.Hour), name, 1000*time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	return made
}

// write makes new files for the identity, valid for an hour from madeAt, and
// for servers and clients whatever the role is.
func write(tb testing.TB, directory string, authority *Authority, identity Identity, madeAt time.Time) rattansettings.Keys {
	tb.Helper()
	return writeFor(tb, directory, authority, identity, madeAt, x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth)
}

func writeFor(tb testing.TB, directory string, authority *Authority, identity Identity, madeAt time.Time, usages ...x509.ExtKeyUsage) rattansettings.Keys {
	tb.Helper()
	pair, err := makeCertificate(madeAt, authority, CertificateRequest{Identity: identity, Lifetime: time.Hour}, usages)
	if err != nil {
		tb.Fatal(err)
	}
	keys, err := WriteFiles(directory, "own", authority, pair)
	if err != nil {
		tb.Fatal(err)
	}
	return keys
}

func open(tb testing.TB, keys rattansettings.Keys, now time.Time) *Store {
	tb.Helper()
	store, err := Open(now, Options{Keys: keys})
	if err != nil {
		tb.Fatal(err)
	}
	return store
}

func member(tb testing.TB, authority *Authority, role Role, name string) *Store {
	tb.Helper()
	return open(tb, write(tb, tb.TempDir(), authority, Identity{Role: role, Name: name}, time.Now()), time.Now())
}

// server echoes on each connection once its handshake has passed.
func server(tb testing.TB, config *tls.Config) string {
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

func exchange(connection net.Conn) error {
	if _, err := connection.Write([]byte("ping")); err != nil {
		return err
	}
	reply := make([]byte, 4)
	if _, err := io.ReadFull(connection, reply); err != nil {
		return err
	}
	if string(reply) != "ping" {
		return errors.Errorf("got %q", reply)
	}
	return nil
}

// connect makes a connection and exchanges once.
func connect(address string, config *tls.Config) (*tls.Conn, error) {
	connection, err := dial(address, config)
	if err != nil {
		return nil, err
	}
	return connection, exchange(connection)
}

// TestPeers guards against a peer that gets an answer although it is unknown,
// expired or of another role, and against a client that talks to such a server.
func TestPeers(t *testing.T) {
	ours, theirs := authority(t, "ours"), authority(t, "theirs")
	past := time.Now().Add(-3 * time.Hour)
	future := time.Now().Add(time.Hour)
	at := func(madeAt time.Time) *Store {
		return open(t, write(t, t.TempDir(), ours, Identity{Role: RoleInstance, Name: "b"}, madeAt), madeAt)
	}
	instance := member(t, ours, RoleInstance, "a")
	oldVersion := instance.ClientConfig("")
	oldVersion.MinVersion, oldVersion.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	anonymous := instance.ClientConfig("")
	anonymous.GetClientCertificate = nil
	peers := []Role{RoleInstance}
	for _, test := range []struct {
		name   string
		roles  []Role
		server *Store
		client *tls.Config
		passes bool
	}{
		{"instance", peers, instance, member(t, ours, RoleInstance, "b").ClientConfig("a"), true},
		{"caller", []Role{RoleCaller, RoleOperator}, instance, member(t, ours, RoleCaller, "app").ClientConfig(""), true},
		{"operator", []Role{RoleCaller, RoleOperator}, instance, member(t, ours, RoleOperator, "eva").ClientConfig(""), true},
		{"caller as instance", peers, instance, member(t, ours, RoleCaller, "app").ClientConfig("a"), false},
		{"operator as instance", peers, instance, member(t, ours, RoleOperator, "eva").ClientConfig("a"), false},
		{"instance as caller", []Role{RoleCaller}, instance, member(t, ours, RoleInstance, "b").ClientConfig("a"), false},
		{"unknown client", peers, instance, trusting(member(t, theirs, RoleInstance, "b").ClientConfig("a")), false},
		{"expired client", peers, instance, at(past).ClientConfig("a"), false},
		{"client of the future", peers, instance, at(future).ClientConfig("a"), false},
		{"no client certificate", peers, instance, anonymous, false},
		{"TLS 1.2", peers, instance, oldVersion, false},
		{"unknown server", peers, member(t, theirs, RoleInstance, "a"), instance.ClientConfig("a"), false},
		{"expired server", peers, at(past), instance.ClientConfig("b"), false},
		{"other server", peers, member(t, ours, RoleInstance, "c"), instance.ClientConfig("a"), false},
		{"client's certificate as server", peers, open(t, writeFor(t, t.TempDir(), ours, Identity{Role: RoleInstance, Name: "a"}, time.Now(), x509.ExtKeyUsageClientAuth), time.Now()), instance.ClientConfig("a"), false},
		{"caller as server", peers, member(t, ours, RoleCaller, "a"), instance.ClientConfig("a"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := server(t, test.server.ServerConfig(test.roles))
			connection, err := connect(address, test.client)
			qt.Assert(t, err == nil, qt.Equals, test.passes, qt.Commentf("%v", err))
			if test.passes {
				_ = connection.Close()
			}
		})
	}
}

// TestServerVersion guards against a client that accepts less than TLS 1.3.
func TestServerVersion(t *testing.T) {
	ours := authority(t, "ours")
	instance := member(t, ours, RoleInstance, "a")
	config := instance.serverConfig([]Role{RoleInstance}, nil)
	config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err := connect(server(t, config), instance.ClientConfig("a"))
	qt.Assert(t, err, qt.ErrorMatches, ".*protocol version.*")
}

// TestMakeCertificate guards against made certificates that let a caller serve.
func TestMakeCertificate(t *testing.T) {
	c := qt.New(t)
	ours := authority(t, "ours")
	for role := range roleCount {
		pair, err := MakeCertificate(time.Now(), ours, CertificateRequest{Identity: Identity{Role: role, Name: "a"}, Lifetime: time.Hour})
		c.Assert(err, qt.IsNil)
		made, err := tls.X509KeyPair(pair.CertificatePEM, pair.KeyPEM)
		c.Assert(err, qt.IsNil)
		c.Check(slices.Contains(made.Leaf.ExtKeyUsage, x509.ExtKeyUsageServerAuth), qt.Equals, role == RoleInstance)
	}
}

// TestReloadSameStamp guards against a replacement that is not noticed because
// the file system's time stamps and the sizes are the same.
func TestReloadSameStamp(t *testing.T) {
	c := qt.New(t)
	signer := authority(t, "ours")
	directory := t.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	now := time.Now()
	keys := write(t, directory, signer, identity, now)
	stamped := func() [3]stamp {
		for _, path := range []string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile} {
			c.Assert(os.Chtimes(path, now, now), qt.IsNil)
		}
		stamps, err := (&Store{options: Options{Keys: keys}}).stat()
		c.Assert(err, qt.IsNil)
		return stamps
	}
	before := stamped()
	store := open(t, keys, now)
	write(t, directory, signer, identity, now)
	// The size of a signature varies by a few bytes.
	for range 200 {
		if stamped() == before {
			break
		}
		write(t, directory, signer, identity, now)
	}
	c.Assert(stamped(), qt.Equals, before)
	changed, err := store.Reload(now.Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	// A file read now would be refused, because its certificate has ended.
	changed, err = store.Reload(now.Add(2 * time.Hour))
	c.Assert(err, qt.IsNil, qt.Commentf("files that have not changed are read again"))
	c.Assert(changed, qt.IsFalse)
}

// trusting drops the client's own check, so that the server must refuse.
func trusting(config *tls.Config) *tls.Config {
	config.VerifyConnection = nil
	return config
}

// TestReplacement guards against a replacement that drops open connections, or
// that new connections do not use in both directions.
func TestReplacement(t *testing.T) {
	c := qt.New(t)
	old, other := authority(t, "old"), authority(t, "other")
	directory := t.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	store := open(t, write(t, directory, old, identity, time.Now()), time.Now())
	config := store.ServerConfig([]Role{RoleInstance})
	address := server(t, config)
	client := member(t, old, RoleInstance, "b")
	kept, err := connect(address, client.ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer kept.Close()

	write(t, directory, old, identity, time.Now())
	changed, err := store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	renewed, err := connect(address, client.ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer renewed.Close()
	c.Assert(serial(renewed), qt.Not(qt.Equals), serial(kept))
	c.Assert(exchange(kept), qt.IsNil)

	write(t, directory, other, identity, time.Now())
	_, err = store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	_, err = connect(address, client.ClientConfig("a"))
	c.Assert(err, qt.IsNotNil)
	_, err = connect(address, trusting(client.ClientConfig("a")))
	c.Assert(err, qt.IsNotNil)
	last, err := connect(address, member(t, other, RoleInstance, "b").ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer last.Close()
	c.Assert(exchange(kept), qt.IsNil)

	callerServer := server(t, member(t, other, RoleInstance, "c").ServerConfig([]Role{RoleInstance}))
	outgoing, err := connect(callerServer, store.ClientConfig("c"))
	c.Assert(err, qt.IsNil, qt.Commentf("the new key is used for outgoing connections"))
	defer outgoing.Close()
}

func serial(connection *tls.Conn) string {
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestReload guards against files in the middle of a replacement that end the
// service, and against a failed attempt that is not repeated.
func TestReload(t *testing.T) {
	c := qt.New(t)
	signer := authority(t, "ours")
	directory := t.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	keys := write(t, directory, signer, identity, time.Now())
	store := open(t, keys, time.Now())
	c.Assert(store.Identity(), qt.Equals, identity)
	end := store.NotAfter()
	changed, err := store.Reload(time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)

	oldKey, err := os.ReadFile(keys.KeyFile)
	c.Assert(err, qt.IsNil)
	write(t, directory, signer, identity, time.Now().Add(2*time.Second))
	newKey, err := os.ReadFile(keys.KeyFile)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(keys.KeyFile, oldKey, 0o600), qt.IsNil)
	for range 2 {
		_, err = store.Reload(time.Now())
		c.Assert(errors.Is(err, ErrKeys), qt.IsTrue)
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
	c.Assert(errors.Is(err, ErrKeys), qt.IsTrue)
}

// TestOpenErrors guards against own files that no peer would accept and that
// are found out only when connections fail.
func TestOpenErrors(t *testing.T) {
	c := qt.New(t)
	ours, theirs := authority(t, "ours"), authority(t, "theirs")
	identity := Identity{Role: RoleInstance, Name: "a"}
	keys := write(t, t.TempDir(), ours, identity, time.Now())
	_, err := Open(time.Now().Add(2*time.Hour), Options{Keys: keys})
	c.Check(errors.Is(err, ErrKeys), qt.IsTrue, qt.Commentf("expired: %v", err))
	c.Assert(os.WriteFile(keys.AuthorityFile, theirs.CertificatePEM, 0o600), qt.IsNil)
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(errors.Is(err, ErrKeys), qt.IsTrue, qt.Commentf("other authority: %v", err))
	c.Assert(os.WriteFile(keys.AuthorityFile, []byte("none"), 0o600), qt.IsNil)
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(err, qt.ErrorMatches, ".*: no PEM certificate")

	keys = write(t, t.TempDir(), ours, Identity{Role: RoleInstance}, time.Now())
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(errors.Is(err, ErrRole), qt.IsTrue, qt.Commentf("no name: %v", err))
	keys = write(t, t.TempDir(), ours, Identity{Role: roleCount, Name: "a"}, time.Now())
	_, err = Open(time.Now(), Options{Keys: keys})
	c.Check(errors.Is(err, ErrRole), qt.IsTrue, qt.Commentf("unknown role: %v", err))
}

// TestIdentityOf guards against requests that are attributed to nobody.
func TestIdentityOf(t *testing.T) {
	c := qt.New(t)
	ours := authority(t, "ours")
	address := server(t, member(t, ours, RoleInstance, "a").ServerConfig([]Role{RoleCaller}))
	connection, err := connect(address, member(t, ours, RoleCaller, "app").ClientConfig("a"))
	c.Assert(err, qt.IsNil)
	defer connection.Close()
	identity, err := IdentityOf(connection.ConnectionState())
	c.Assert(err, qt.IsNil)
	c.Assert(identity, qt.Equals, Identity{Role: RoleInstance, Name: "a"})
	c.Assert(errors.Is(identity.Require(RoleCaller, RoleOperator), ErrRole), qt.IsTrue)
	_, err = IdentityOf(tls.ConnectionState{})
	c.Assert(errors.Is(err, ErrRole), qt.IsTrue)
}

// pollInterval is how often BenchmarkReplacement calls Reload.
const pollInterval = 100 * time.Millisecond

// BenchmarkReplacement measures the time from the replacement of the files to
// the end of the first handshake that presents the new certificate.
func BenchmarkReplacement(b *testing.B) {
	signer := authority(b, "ours")
	directory := b.TempDir()
	identity := Identity{Role: RoleInstance, Name: "a"}
	store := open(b, write(b, directory, signer, identity, time.Now()), time.Now())
	address := server(b, store.ServerConfig([]Role{RoleInstance}))
	client := member(b, signer, RoleInstance, "b").ClientConfig("a")
	stop := poll(store)
	defer stop()
	var longest time.Duration
	for b.Loop() {
		b.StopTimer()
		before := presented(b, address, client)
		write(b, directory, signer, identity, time.Now())
		began := time.Now()
		b.StartTimer()
		for presented(b, address, client) == before {
			time.Sleep(time.Millisecond)
		}
		longest = max(longest, time.Since(began))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "ms-longest")
}

func poll(store *Store) (stop func()) {
	ticker := time.NewTicker(pollInterval)
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
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
		<-ended
	}
}

func presented(b *testing.B, address string, client *tls.Config) string {
	connection, err := connect(address, client)
	if err != nil {
		b.Fatal(err)
	}
	defer connection.Close()
	return serial(connection)
}

// BenchmarkReload measures the check of files that have not changed.
func BenchmarkReload(b *testing.B) {
	store := member(b, authority(b, "ours"), RoleInstance, "a")
	now := time.Now().Add(time.Minute)
	for b.Loop() {
		if _, err := store.Reload(now); err != nil {
			b.Fatal(err)
		}
	}
}
