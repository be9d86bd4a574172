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

// reloadInterval is how often the key files are looked at for changes.
const reloadInterval = time.Second

// Keyring keeps the keys in force up to date with their files.
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

// Start begins to look for changed files.
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

// Stop ends the looking.
func (k *Keyring) Stop(context.Context) error {
	k.cancel()
	k.loops.Wait()
	return nil
}

func (k *Keyring) reload(now time.Time) {
	changed, err := k.store.Reload(now)
	switch {
	case err != nil:
		k.logger.WithError(err).Warn("changed key files are not usable; the former ones stay in force")
	case changed:
		k.logger.WithField("NotAfter", k.store.NotAfter()).Info("keys in force")
	}
}

// callers returns the TLS configuration for callers and operators.
func (k *Keyring) callers() *tls.Config {
	return k.store.ServerConfig([]rattankeys.Role{rattankeys.RoleCaller, rattankeys.RoleOperator}, "h2", "http/1.1")
}

// peers returns a listener that accepts instances only.
func (k *Keyring) peers(listener net.Listener) net.Listener {
	return tls.NewListener(listener, k.store.ServerConfig([]rattankeys.Role{rattankeys.RoleInstance}))
}

// dialPeer opens connections with TLS over those of dial.
func (k *Keyring) dialPeer(dial rattanpeer.DialFunc) rattanpeer.DialFunc {
	if dial == nil {
		dial = rattanpeer.DialTCP
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		plain, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, k.store.ClientConfig(""))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, errors.Trace(err)
		}
		return secured, nil
	}
}

// peerName returns the name in the certificate of a connection's other end.
func peerName(conn net.Conn) (string, bool) {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return "", false
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if secured.HandshakeContext(ctx) != nil {
		return "", false
	}
	identity, err := rattankeys.IdentityOf(secured.ConnectionState())
	if err != nil || identity.Require(rattankeys.RoleInstance) != nil {
		return "", false
	}
	return identity.Name, true
}
