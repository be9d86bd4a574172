package rattancmd

import (
	"github.com/rattanlever/rattanlever/rattanclient"
)

// tlsOptions are the key files of commands that connect to an instance.
type tlsOptions struct {
	Certificate string `long:"certificate" value-name:"FILE" description:"client certificate in PEM"`
	Key         string `long:"private-key" value-name:"FILE" description:"private key of the certificate in PEM"`
	Authority   string `long:"authority" value-name:"FILE" description:"certificates that sign the instances' certificates, in PEM"`
}

// apply sets up the client for TLS if key files are given.
func (o *tlsOptions) apply(*rattanclient.Config) error {
	if o.Certificate == "" && o.Key == "" && o.Authority == "" {
		return nil
	}
	return usageError("--certificate: TLS is not available yet")
}
