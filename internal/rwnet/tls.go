package rwnet

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"ragwortwall/internal/rwerror"
)

// LoadTLS reads the keys for mutual TLS between instances: this instance's
// certificate and key, and the authority that signed those of all. The
// certificates name the instances' IP numbers.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "name a certificate and its key in PEM form", "$.tls: %v", err)
	}
	content, err := os.ReadFile(authority)
	if err != nil {
		return nil, rwerror.New(rwerror.KindInvalid, "name the authority's certificate in PEM form", "$.tls.authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, rwerror.New(rwerror.KindInvalid, "name the authority's certificate in PEM form", "$.tls.authority: the file holds no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
