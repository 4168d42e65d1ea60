package rwnet_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ragwortwall/internal/rwfake"
	"ragwortwall/internal/rwnet"

	"github.com/stretchr/testify/require"
)

const address = "10.0.0.1:70"

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	directory   string
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	a := authority{certificate: template, key: key, directory: t.TempDir()}
	a.write(t, "authority", "CERTIFICATE", der)
	return a
}

func (a authority) write(t *testing.T, name, kind string, der []byte) string {
	file := filepath.Join(a.directory, name+".pem")
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// network wraps a network in TLS with a new certificate signed by the authority.
func (a authority) network(t *testing.T, inner rwnet.Network, name string) rwnet.Network {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP("10.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	require.NoError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	config, err := rwnet.LoadTLS(a.write(t, name, "CERTIFICATE", der), a.write(t, name+"-key", "EC PRIVATE KEY", private), filepath.Join(a.directory, "authority.pem"))
	require.NoError(t, err)
	return rwnet.TLS{Network: inner, Config: config}
}

func TestTLS(t *testing.T) {
	var fake rwfake.Network
	ca := newAuthority(t)
	l, err := ca.network(t, fake.Host("a"), "a").Listen(address)
	require.NoError(t, err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Write([]byte("hello"))
				_ = conn.Close()
			}()
		}
	}()
	defer l.Close()
	ctx := context.Background()
	t.Run("certificate of the same authority is accepted", func(t *testing.T) {
		conn, err := ca.network(t, fake.Host("b"), "b").Dial(ctx, address)
		require.NoError(t, err)
		defer conn.Close()
		content, err := io.ReadAll(conn)
		require.NoError(t, err)
		require.Equal(t, "hello", string(content))
	})
	t.Run("certificate of another authority is rejected", func(t *testing.T) {
		_, err := newAuthority(t).network(t, fake.Host("c"), "c").Dial(ctx, address)
		require.Error(t, err)
	})
}
