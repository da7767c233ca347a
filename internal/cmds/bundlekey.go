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

// keySuffix is the file name suffix of private keys. A key file holds the ed25519 seed in base64, on
// one line.
const keySuffix = ".key"

// BundleKeygenCmd generates the key of a signer and adds the signer to a file of signers.
type BundleKeygenCmd struct {
	Name  string        `arg:"" help:"Name of the signer."`
	Roles []bundle.Role `required:"" help:"What the signer may do: publish, approve, roll."`
	Dir   string        `default:"." type:"path" help:"Directory of the private key."`
	Roots string        `type:"path" help:"JSON file of signers to add the signer to."`
	bundleOutput
}

// Run generates the key, unless its file exists already, and adds or updates the signer.
func (c *BundleKeygenCmd) Run() error {
	return c.run(os.Stdout)
}

func (c *BundleKeygenCmd) run(out io.Writer) error {
	for _, r := range c.Roles {
		if r != bundle.RolePublish && r != bundle.RoleApprove && r != bundle.RoleRoll {
			return badInput("unknown role %q, expected publish, approve or roll", r)
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

// keygenResult is the result of BundleKeygenCmd.
type keygenResult struct {
	Signer  bundle.Signer `json:"signer"`
	KeyFile string        `json:"key-file"`
}

func (r keygenResult) writeText(w *strings.Builder) {
	fmt.Fprintf(w, "private key of %q is in %s; public key %s\n", r.Signer.Name, r.KeyFile,
		base64.StdEncoding.EncodeToString(r.Signer.PublicKey))
}

// readKey reads a private key file. Its error wraps fs.ErrNotExist if there is no such file.
func readKey(file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, badInput("%s: found a seed of %d bytes, expected %d bytes in base64", file, len(seed), ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// writeKey generates a key and writes it to a new file. It never replaces a file, because the
// signatures of a lost key can't be made again.
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

// addSigner adds a signer to a file of signers, or replaces the signer of the same name. It creates
// the file if it doesn't exist, and does nothing if no file is named.
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

// writeJSONFile writes a value as indented JSON and replaces an existing file.
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
