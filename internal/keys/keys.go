// Package keys loads TLS certificates and keys from files and reloads them when
// the files change, so that they can be replaced without a restart.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
)

// checkInterval is the shortest time between two checks of the files.
const checkInterval = time.Second

// Files names the PEM files of a node.
type Files struct {
	Certificate string
	Key         string
	// Authorities names the file of the CA certificates that peers' certificates
	// are verified against. It may be empty if only ServerTLSConfig is used.
	Authorities string
}

// credentials are the parsed contents of the files. authorities is nil if no
// authorities file is named.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Store holds the newest valid contents of the files. It is safe for concurrent
// use.
type Store struct {
	files Files

	mu          sync.Mutex
	credentials credentials
	// modTime is the newest modification time of the files that were read.
	modTime   time.Time
	lastCheck time.Time
}

// NewStore reads the files and returns an error if they are missing or not valid.
func NewStore(files Files) (store *Store, err error) {
	store = &Store{files: files}
	store.credentials, err = store.readFiles()
	store.modTime = store.newestModTime()
	return store, err
}

func (s *Store) readFiles() (c credentials, err error) {
	defer util.Annotate(&err, "read TLS certificate, key and authorities")
	c.certificate, err = tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return c, errors.WithStack(err)
	}
	if s.files.Authorities == "" {
		return c, nil
	}
	pem, err := os.ReadFile(s.files.Authorities)
	if err != nil {
		return c, errors.WithStack(err)
	}
	c.authorities = x509.NewCertPool()
	if !c.authorities.AppendCertsFromPEM(pem) {
		return c, errors.New("no PEM certificate in " + s.files.Authorities)
	}
	return c, nil
}

// newestModTime returns the latest modification time of the files.
func (s *Store) newestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authorities} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the newest valid contents. While the files are not valid it
// returns the previous contents.
func (s *Store) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastCheck) < checkInterval {
		return s.credentials
	}
	s.lastCheck = now
	modTime := s.newestModTime()
	if modTime.Equal(s.modTime) {
		return s.credentials
	}
	reloaded, err := s.readFiles()
	if err == nil {
		s.credentials, s.modTime = reloaded, modTime
	}
	return s.credentials
}

// ServerTLSConfig returns the configuration for the listener that callers use.
// Only the node presents a certificate.
func (s *Store) ServerTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c := s.current()
			return &c.certificate, nil
		},
	}
}

// MutualTLSConfig returns the configuration for connections between nodes, for
// both listening and dialling. Both sides must present a certificate signed by
// one of the authorities.
func (s *Store) MutualTLSConfig() *tls.Config {
	config := s.ServerTLSConfig()
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		c := s.current()
		return &c.certificate, nil
	}
	// The standard verification is replaced by verifyPeer on both sides. It uses
	// the newest authorities and ignores host names: a certificate of one of the
	// authorities is what proves membership.
	config.ClientAuth = tls.RequireAnyClientCert
	config.InsecureSkipVerify = true
	config.VerifyConnection = s.verifyPeer
	return config
}

// verifyPeer verifies the certificate chain of the peer against the newest
// authorities.
func (s *Store) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current().authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.WithStack(err)
}
