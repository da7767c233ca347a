package cmds

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"example.org/mustardring/internal/certs"
)

// Names of the files that CertsCmd writes.
const (
	authorityCertFile = "authority.pem"
	authorityKeyFile  = "authority-key.pem"
)

// CertsCmd generates the certificates with which instances authenticate each other.
type CertsCmd struct {
	Dir       string   `required:"" help:"Directory to write the PEM files to." type:"path"`
	Instances []string `arg:"" help:"Names of instances."`
}

// Run writes the certificate and key of the authority, unless they exist already, and a certificate
// and key for each instance, which replace existing ones.
func (c *CertsCmd) Run() error {
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return fmt.Errorf("cmds: %w", err)
	}
	authority, err := c.authority()
	if err != nil {
		return err
	}
	for _, name := range c.Instances {
		pair, err := certs.NewInstance(authority, name, time.Now())
		if err != nil {
			return err
		}
		if err := c.write(pair, name+".pem", name+"-key.pem"); err != nil {
			return err
		}
	}
	return nil
}

// authority reads the authority from the directory, or generates one and writes it there if the
// certificate can't be read.
func (c *CertsCmd) authority() (certs.Pair, error) {
	certificate, err := os.ReadFile(filepath.Join(c.Dir, authorityCertFile))
	if err == nil {
		key, err := os.ReadFile(filepath.Join(c.Dir, authorityKeyFile))
		return certs.Pair{Certificate: certificate, Key: key}, err
	}
	pair, err := certs.NewAuthority(time.Now())
	if err != nil {
		return pair, err
	}
	return pair, c.write(pair, authorityCertFile, authorityKeyFile)
}

// write writes a certificate and its key to two files. The key file is readable by its owner only.
func (c *CertsCmd) write(pair certs.Pair, certificate, key string) error {
	if err := os.WriteFile(filepath.Join(c.Dir, certificate), pair.Certificate, 0o644); err != nil {
		return fmt.Errorf("cmds: %w", err)
	}
	if err := os.WriteFile(filepath.Join(c.Dir, key), pair.Key, 0o600); err != nil {
		return fmt.Errorf("cmds: %w", err)
	}
	return nil
}
