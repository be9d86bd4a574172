package rattancmd

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanclient"
)

// operatorOptions are the options shared by the operators' commands.
type operatorOptions struct {
	Entry    []string      `long:"entry" value-name:"ADDRESS" default:"127.0.0.1:7100" description:"address of an entry instance or load balancer, repeatable"`
	Operator string        `long:"operator" value-name:"NAME" default:"operator" description:"name of the operator, used without TLS only"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"maximum time to wait"`
	tlsOptions

	std *streams
}

func (o *operatorOptions) client() (*rattanclient.Client, error) {
	config := rattanclient.Config{Addresses: o.Entry, Operator: o.Operator}
	if err := o.configureTLS(&config); err != nil {
		return nil, err
	}
	return rattanclient.New(config), nil
}

// get fetches a path within the timeout.
func (o *operatorOptions) get(path string) ([]byte, error) {
	return o.request(func(ctx context.Context, client *rattanclient.Client) ([]byte, error) {
		return client.Get(ctx, path)
	})
}

// post posts a body to a path within the timeout.
func (o *operatorOptions) post(path string, body []byte) ([]byte, error) {
	return o.request(func(ctx context.Context, client *rattanclient.Client) ([]byte, error) {
		return client.Post(ctx, path, body)
	})
}

func (o *operatorOptions) request(send func(context.Context, *rattanclient.Client) ([]byte, error)) ([]byte, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	return send(ctx, client)
}
