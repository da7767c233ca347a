package cmds

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"example.org/mustardring/pkg/bundle"
)

// keySuffix is that of private key files: the seed in base64, on one line.
const keySuffix = ".key"

// BundleKeygenCmd makes a signer's key and adds the signer to a file.
type BundleKeygenCmd struct {
	Name  string        `arg:"" help:"Name of the signer."`
	Roles []bundle.Role `required:"" help:"What the signer may do: publish, approve, roll."`
	Dir   string        `default:"." type:"path" help:"Directory of the private key."`
	Roots string        `type:"path" help:"JSON file of signers to add the signer to."`
	bundleOutput
}

// Run makes the key. A key that is there already is kept.
func (c *BundleKeygenCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BundleKeygenCmd) run(out io.Writer) error {
	for _, r := range c.Roles {
		if r != bundle.RolePublish && r != bundle.RoleApprove && r != bundle.RoleRoll {
			return badInput("found role %q, expected publish, approve or roll", r)
		}
	}
	file := filepath.Join(c.Dir, c.Name+keySuffix)
	key, err := readKey(file)
	if errors.Is(err, fs.ErrNotExist) {
		key, err = writeKey(file)
	}
	if err != nil {
		return err
	}
	s := bundle.Signer{Name: c.Name, PublicKey: key.Public().(ed25519.PublicKey), Roles: c.Roles}
	if err := addSigner(c.Roots, s); err != nil {
		return err
	}
	return c.show(out, keygenResult{Signer: s, KeyFile: file})
}

type keygenResult struct {
	Signer  bundle.Signer `json:"signer"`
	KeyFile string        `json:"key-file"`
}

func (m keygenResult) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "private key of %q is in %s; public key %s\n", m.Signer.Name, m.KeyFile,
		base64.StdEncoding.EncodeToString(m.Signer.PublicKey))
}

func readKey(file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, badInput("%s: found %d bytes, expected a seed of %d in base64", file, len(seed), ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// writeKey never replaces a file: the signatures of a lost key could not be made again.
func writeKey(file string) (ed25519.PrivateKey, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, failed("%w", err)
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, badInput("%w", err)
	}
	defer f.Close()
	if _, err := fmt.Fprintln(f, base64.StdEncoding.EncodeToString(key.Seed())); err != nil {
		return nil, failed("%w", err)
	}
	return key, nil
}

// addSigner adds a signer to a file of signers, which is made if it is missing.
func addSigner(file string, s bundle.Signer) error {
	if file == "" {
		return nil
	}
	var signers []bundle.Signer
	if _, err := os.Stat(file); err == nil {
		if signers, err = readSigners(file); err != nil {
			return err
		}
	}
	i := slices.IndexFunc(signers, func(o bundle.Signer) bool { return o.Name == s.Name })
	if i >= 0 {
		signers[i] = s
	} else {
		signers = append(signers, s)
	}
	return writeJSONFile(file, signers)
}

func writeJSONFile(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return failed("%w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return badInput("%w", err)
	}
	return nil
}
