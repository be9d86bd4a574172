package rattanentry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattankeys"
	"github.com/rattanlever/rattanlever/rattanpeer"
)

// reloadInterval is how often the key files are checked for changes.
const reloadInterval = time.Second

// Keyring reloads the TLS keys and certificates when their files change.
type Keyring struct {
	store  *rattankeys.Store
	logger *logrus.Logger
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Name returns the name of the service in the kernel.
func (k *Keyring) Name() string {
	return serviceKeyring
}

// Start starts checking the files for changes.
func (k *Keyring) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.loops.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, reloadInterval)
			k.reload(time.Now())
		}
	})
	return nil
}

// Stop stops checking the files.
func (k *Keyring) Stop(context.Context) error {
	k.cancel()
	k.loops.Wait()
	return nil
}

func (k *Keyring) reload(now time.Time) {
	changed, err := k.store.Reload(now)
	switch {
	case err != nil:
		k.logger.WithError(err).Warn("changed key files are invalid; the previous keys stay in use")
	case changed:
		k.logger.WithField("NotAfter", k.store.NotAfter()).Info("keys in force")
	}
}

// callerTLSConfig returns the TLS configuration for callers and operators.
func (k *Keyring) callerTLSConfig() *tls.Config {
	return k.store.ServerConfig([]rattankeys.Role{rattankeys.RoleCaller, rattankeys.RoleOperator}, "h2", "http/1.1")
}

// peerListener returns a listener that accepts connections from instances only.
func (k *Keyring) peerListener(listener net.Listener) net.Listener {
	return tls.NewListener(listener, k.store.ServerConfig([]rattankeys.Role{rattankeys.RoleInstance}))
}

// dialPeer returns a dial function that adds TLS to the connections of dial.
func (k *Keyring) dialPeer(dial rattanpeer.DialFunc) rattanpeer.DialFunc {
	if dial == nil {
		dial = rattanpeer.DialTCP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		plainConn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		tlsConn := tls.Client(plainConn, k.store.ClientConfig(""))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = plainConn.Close()
			return nil, errors.Trace(err)
		}
		return tlsConn, nil
	}
}

// peerName returns the name in the peer's certificate.
func peerName(conn net.Conn) (string, bool) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return "", false
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if tlsConn.HandshakeContext(ctx) != nil {
		return "", false
	}
	identity, err := rattankeys.IdentityOf(tlsConn.ConnectionState())
	if err != nil || identity.Require(rattankeys.RoleInstance) != nil {
		return "", false
	}
	return identity.Name, true
}
