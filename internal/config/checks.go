package config

import (
	"crypto/ed25519"
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"example.org/mustardring/pkg/bundle"
)

// url requires an HTTP or HTTPS URL with an IP address and a port.
func (c *checks) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		c.fail(field, value, "give a URL such as http://127.0.0.1:7000")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(field, value, "give the host as an IP address and a port")
	}
}

// readRoots replaces the roots by those in RootsFile, if it is set. A relative name is resolved
// against the directory of the settings file.
func (c *checks) readRoots(r *Run) {
	if r.RootsFile == "" {
		return
	}
	name := r.RootsFile
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(c.file), name)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		c.fail("roots-file", err.Error(), "name a readable file")
		return
	}
	if err := json.Unmarshal(data, &r.Roots); err != nil {
		c.fail("roots-file", err.Error(), "give a file with a JSON array of signers")
	}
}

// roots requires at least one signer, each with a name and a public key of the right length.
func (c *checks) roots(roots []bundle.Signer) {
	if len(roots) == 0 {
		c.fail("roots", "nothing", "give the signers of the first bundle")
	}
	for _, r := range roots {
		c.required("roots.name", r.Name)
		if len(r.PublicKey) != ed25519.PublicKeySize {
			c.fail("roots.public-key", "a key of the wrong length", "give an ed25519 public key in base64")
		}
	}
}

func join(values []string) string {
	return strings.Join(values, ", ")
}
