// Package certs generates the certificates with which entry instances authenticate each other,
// and the TLS configurations that use them.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// InstanceName is the DNS name in the certificate of every instance. An instance accepts any
// other whose certificate the common authority signed for this name, whatever its address.
const InstanceName = "instance.mustardring"

// validityYears is how long generated certificates are valid.
const validityYears = 10

// ErrAuthority is returned if the PEM text of an authority holds no certificate.
var ErrAuthority = errors.New("certs: no certificate in the PEM text of the authority")

// Pair is a certificate and its private key, both as PEM text.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority generates a self-signed certificate authority for the certificates of instances.
// The certificate is valid from an hour before now, to allow for clocks that differ.
func NewAuthority(now time.Time) (Pair, error) {
	template := newTemplate("mustardring authority", now)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: generating a key: %w", err)
	}
	return sign(template, template, key, key)
}

// NewInstance generates a key and a certificate for an instance, signed by an authority. The
// certificate is for both ends of a TLS connection. Name becomes its common name.
func NewInstance(authority Pair, name string, now time.Time) (Pair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: parsing the key pair of the authority: %w", err)
	}
	template := newTemplate(name, now)
	template.DNSNames = []string{InstanceName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: generating a key: %w", err)
	}
	return sign(template, parent.Leaf, key, parent.PrivateKey)
}

// newTemplate returns what the certificates of authorities and instances have in common.
func newTemplate(name string, now time.Time) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		serial = big.NewInt(now.UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.AddDate(validityYears, 0, 0),
	}
}

// sign creates the certificate for key from a template. Parent and parentKey are those of the
// signer; a self-signed certificate has template and key itself as its parent.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, parentKey any) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: signing a certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: encoding a private key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Config returns the TLS configuration of an instance, for both ends of a connection. Each end
// requires a certificate that the authority signed. Authority is PEM text.
func Config(pair Pair, authority []byte) (*tls.Config, error) {
	own, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("certs: parsing the key pair of the instance: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, ErrAuthority
	}
	return &tls.Config{
		Certificates: []tls.Certificate{own},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   InstanceName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
