package config

import (
	"crypto/ed25519"
	"net/netip"
	"net/url"
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

func (c *checks) roots(roots []bundle.Signer) {
	if len(roots) == 0 {
		c.fail("roots", "nothing", "give the signers of the first bundle")
	}
	for _, r := range roots {
		c.need("roots.name", r.Name)
		if len(r.PublicKey) != ed25519.PublicKeySize {
			c.fail("roots.public-key", "a key of another length", "give an ed25519 public key in base64")
		}
	}
}

func join(words []string) string {
	return strings.Join(words, ", ")
}
