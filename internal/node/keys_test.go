package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/keys"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, err = x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes the key files of a new certificate with the serial number.
func (a *authority) issue(t *testing.T, folder string, serial int64) keys.Files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "node"},
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := keys.Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authorities: filepath.Join(folder, "authorities.pem"),
	}
	for path, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyBytes},
		files.Authorities: {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

const tlsDocument = `name = "keyed"
[[rank]]
name = "urgent"
[[pool]]
name = "orders"
slots = 1
connections = 6
upstreams = ["127.0.0.1:1"]
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = "1s"
`

// startWithTLS runs a node with TLS keys until the test ends.
func startWithTLS(t *testing.T, vm, platform string, files keys.Files, peers ...string) *Node {
	t.Helper()
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = vm, "zone"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	options.Platform, options.Environment = platform, "keyed"
	options.Keys, options.Peers = files, peers
	n, err := New(options, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-n.Done()
	})
	return n
}

func readyMembers(n *Node) int {
	ready := 0
	for _, m := range n.View().Members {
		if m.State == member.Ready {
			ready++
		}
	}
	return ready
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// TestMutualKeys checks that nodes with certificates of one authority join each
// other, that a peer with the certificate of another authority or with none is
// rejected, and that changed key files are loaded without a restart.
func TestMutualKeys(t *testing.T) {
	store := standin.NewPlatform(1)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	value, err := promotion.Record{Digest: document.Digest([]byte(tlsDocument)), Text: tlsDocument}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.Store(promotion.ConfigKey("keyed"), value)
	own, other := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	first := startWithTLS(t, "vm-1", server.URL, own.issue(t, folder, 2))
	second := startWithTLS(t, "vm-2", server.URL, own.issue(t, t.TempDir(), 3), first.PeerAddress())
	await(t, "two nodes of one authority see each other ready", func() bool {
		return readyMembers(first) == 2 && readyMembers(second) == 2
	})
	stranger := startWithTLS(t, "vm-3", server.URL, other.issue(t, t.TempDir(), 4), first.PeerAddress())
	await(t, "the stranger is ready on its own", func() bool { return readyMembers(stranger) == 1 })
	if _, found := first.View().Members["vm-3"]; found || len(stranger.View().Members) != 1 {
		t.Error("a node of another authority is a member")
	}
	if _, err := tls.Dial("tcp", first.PeerAddress(), &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}); err == nil {
		t.Error("a peer without a certificate was served")
	}
	own.issue(t, folder, 9)
	await(t, "the new certificate is served", func() bool { return servedSerial(first) == 9 })
}

// servedSerial returns the serial number of the certificate that callers get.
func servedSerial(n *Node) int64 {
	conn, err := tls.Dial("tcp", n.CallerAddress(), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return 0
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
