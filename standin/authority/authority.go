// Package authority creates an in-memory certificate authority for mutual TLS in local
// mode.
//
// # Usage
//
//	cfg, err := authority.NewTLS()
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"amaranthturn/app/daemon"
)

// certLifetime is the validity period of the certificates.
const certLifetime = 24 * time.Hour

// NewTLS returns a mutual TLS configuration for a fleet, signed by a new certificate
// authority.
func NewTLS() (*tls.Config, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	ca := certTemplate(1)
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	caCert, err := x509.ParseCertificate(caDER)
	if err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	leaf := certTemplate(2)
	leaf.DNSNames = []string{daemon.ServerName}
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, leaf, caCert, &key.PublicKey, caKey)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(caCert)
	return daemon.MutualTLS(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool), nil
}

func certTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: daemon.ServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLifetime),
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
}
