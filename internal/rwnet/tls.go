package rwnet

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"ragwortwall/internal/rwerror"
)

// LoadTLS returns the configuration for mutual TLS between instances. It reads PEM
// files: this instance's certificate and key, and the certificate of the authority
// that signed the certificates of all instances. Each certificate must list the IP
// address of its instance. The error is an rwerror of the kind KindInvalid.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "specify a certificate and its key as PEM files", "$.tls: %v", err)
	}
	content, err := os.ReadFile(authority)
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "specify the authority's certificate as a PEM file", "$.tls.authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, rwerror.New(rwerror.KindInvalid, "specify the authority's certificate as a PEM file", "$.tls.authority: the file holds no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
