package rattancmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattankeys"
)

// keysDirectoryMode gives only the owner access to the directory, because it holds
// private keys.
const keysDirectoryMode = 0o700

type keysMakeOptions struct {
	Directory string        `long:"directory" value-name:"DIRECTORY" default:"keys" description:"directory to write the files to"`
	Lifetime  time.Duration `long:"lifetime" value-name:"DURATION" default:"24h" description:"validity period of the certificates"`
	Args      struct {
		Identities []string `positional-arg-name:"ROLE/NAME" required:"1" description:"identity to make a certificate for, such as Instance/e1, Caller/app or Operator/night"`
	} `positional-args:"true"`

	std *streams
}

func keysCommand(std *streams) command {
	return command{
		name:    "keys",
		summary: "Make certificates and keys for test deployments",
		subcommands: []command{{
			name:    "make",
			summary: "Make a certificate authority and certificates that it signs; the authority's private key is not kept",
			example: "rattanlever keys make Instance/e1 Instance/e2 Caller/app Operator/day",
			options: &keysMakeOptions{std: std},
		}},
	}
}

// Execute writes a certificate, a private key and the authority's certificate for
// each identity and prints the paths.
func (o *keysMakeOptions) Execute([]string) error {
	identities, err := parseIdentities(o.Args.Identities)
	if err != nil {
		return err
	}
	now := time.Now()
	authority, err := rattankeys.MakeAuthority(now, "rattanlever trial", o.Lifetime)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(o.Directory, keysDirectoryMode); err != nil {
		return errors.Annotate(err, "--directory")
	}
	for i, identity := range identities {
		text := o.Args.Identities[i]
		pair, err := rattankeys.MakeCertificate(now, authority, rattankeys.CertificateRequest{Identity: identity, Lifetime: o.Lifetime})
		if err != nil {
			return errors.Annotate(err, text)
		}
		files, err := rattankeys.WriteFiles(o.Directory, identity.Name, authority, pair)
		if err != nil {
			return errors.Annotate(err, text)
		}
		_, _ = fmt.Fprintln(o.std.out, text, files.CertificateFile, files.KeyFile, files.AuthorityFile)
	}
	return nil
}

func parseIdentities(texts []string) ([]rattankeys.Identity, error) {
	identities := make([]rattankeys.Identity, 0, len(texts))
	for _, text := range texts {
		identity, err := parseIdentity(text)
		if err != nil {
			return nil, err
		}
		identities = append(identities, identity)
	}
	return identities, nil
}

// parseIdentity parses ROLE/NAME. The name must be usable as a file name.
func parseIdentity(text string) (rattankeys.Identity, error) {
	var identity rattankeys.Identity
	role, name, _ := strings.Cut(text, "/")
	if err := identity.Role.UnmarshalText([]byte(role)); err != nil || name == "" || name != filepath.Base(name) {
		return identity, usageError("%s: want ROLE/NAME with the role Caller, Operator or Instance", text)
	}
	identity.Name = name
	return identity, nil
}
