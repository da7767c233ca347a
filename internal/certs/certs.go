// Package certs makes the key pairs by which entry instances authenticate each other, and
// the TLS configurations that use them.
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

// InstanceName is the DNS name in the certificate of every instance. An instance is
// recognised by a key that the common authority signed, wherever its address is.
const InstanceName = "instance.mustardring"

// validityYears is the life of the certificates that this package makes, in years.
const validityYears = 10

// ErrAuthority is returned when an authority's PEM text has no certificate.
var ErrAuthority = errors.New("certs: no certificate of an authority")

// Pair is a certificate and its private key as PEM text.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority makes a key pair that can sign those of instances.
func NewAuthority(now time.Time) (Pair, error) {
	template := newTemplate("mustardring authority", now)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: making a key: %w", err)
	}
	return sign(template, template, key, key)
}

// NewInstance makes a key pair for an instance, signed by an authority.
func NewInstance(authority Pair, name string, now time.Time) (Pair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: reading the authority: %w", err)
	}
	template := newTemplate(name, now)
	template.DNSNames = []string{InstanceName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: making a key: %w", err)
	}
	return sign(template, parent.Leaf, key, parent.PrivateKey)
}

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

func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, parentKey any) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: signing: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("certs: encoding a key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Config returns the TLS configuration of an instance, for both ends of a connection.
// Neither end talks to a process whose key the authority did not sign.
func Config(pair Pair, authority []byte) (*tls.Config, error) {
	own, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("certs: reading the key pair: %w", err)
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
