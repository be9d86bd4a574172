package rattancmd

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattankeys"
	"github.com/rattanlever/rattanlever/rattansettings"
)

// tlsOptions are the TLS options shared by the commands that connect to an
// instance.
type tlsOptions struct {
	Certificate string `long:"certificate" value-name:"FILE" description:"client certificate in PEM"`
	PrivateKey  string `long:"private-key" value-name:"FILE" description:"private key of the certificate in PEM"`
	Authority   string `long:"authority" value-name:"FILE" description:"CA certificates that the instances' certificates are verified against, in PEM"`
}

// configureTLS makes the client use TLS if any key file is given.
func (o *tlsOptions) configureTLS(config *rattanclient.Config) error {
	keys := rattansettings.Keys{CertificateFile: o.Certificate, KeyFile: o.PrivateKey, AuthorityFile: o.Authority}
	if keys.Empty() {
		return nil
	}
	store, err := rattankeys.Open(time.Now(), rattankeys.Options{Keys: keys})
	if err != nil {
		return errors.Annotate(err, "--certificate, --private-key, --authority")
	}
	config.Scheme = "https"
	config.Transport = &http.Transport{TLSClientConfig: store.ClientConfig(""), ForceAttemptHTTP2: true}
	return nil
}
