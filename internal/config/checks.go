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

func (c *checks) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		c.fail(field, value, "give a URL such as http://127.0.0.1:7000")
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.fail(field, value, "name the host by IP number and port")
	}
}

// readRoots fills in the roots from a file that is named relative to the settings.
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
		c.fail("roots-file", err.Error(), "name a file that can be read")
		return
	}
	if err := json.Unmarshal(data, &r.Roots); err != nil {
		c.fail("roots-file", err.Error(), "give a file with a JSON array of signers")
	}
}

func (c *checks) roots(roots []bundle.Signer) {
	if len(roots) == 0 {
		c.fail("roots", "nothing", "give the signers of the first bundle")
	}
	for _, r := range roots {
		c.required("roots.name", r.Name)
		if len(r.PublicKey) != ed25519.PublicKeySize {
			c.fail("roots.public-key", "a key of another length", "give an ed25519 public key in base64")
		}
	}
}

func join(words []string) string {
	return strings.Join(words, ", ")
}
