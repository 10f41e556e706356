// Package keys loads certificates from files and loads them anew when the
// files change, so that keys are replaced without a restart.
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

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// Files names the PEM files of a node.
type Files struct {
	Certificate string
	Key         string
	// Authorities holds the certificates that peers' ones are checked against.
	Authorities string
}

// pair is what the files held when they were last read.
type pair struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Store holds the newest valid contents of the files.
type Store struct {
	files Files

	mu       sync.Mutex
	pair     pair
	modified time.Time
	checked  time.Time
}

// NewStore reads the files for the first time.
func NewStore(files Files) (store *Store, err error) {
	store = &Store{files: files}
	store.pair, err = store.read()
	store.modified = store.newest()
	return store, err
}

func (s *Store) read() (p pair, err error) {
	defer util.Annotate(&err, "read keys")
	p.certificate, err = tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return p, errors.WithStack(err)
	}
	if s.files.Authorities == "" {
		return p, nil
	}
	pem, err := os.ReadFile(s.files.Authorities)
	if err != nil {
		return p, errors.WithStack(err)
	}
	p.authorities = x509.NewCertPool()
	if !p.authorities.AppendCertsFromPEM(pem) {
		return p, errors.New("no certificate in " + s.files.Authorities)
	}
	return p, nil
}

func (s *Store) newest() time.Time {
	var newest time.Time
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authorities} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the newest valid contents. Files that are not valid leave
// the old contents in force.
func (s *Store) current() pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.pair
	}
	s.checked = now
	modified := s.newest()
	if modified.Equal(s.modified) {
		return s.pair
	}
	fresh, err := s.read()
	if err == nil {
		s.pair, s.modified = fresh, modified
	}
	return s.pair
}

// Server returns the settings for callers: the node shows its certificate.
func (s *Store) ServerTLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			p := s.current()
			return &p.certificate, nil
		},
	}
}

// Mutual returns the settings between nodes: both sides show certificates of
// the authorities. It serves listening and dialling.
func (s *Store) MutualTLSConfig() *tls.Config {
	config := s.ServerTLSConfig()
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		p := s.current()
		return &p.certificate, nil
	}
	// Both sides check in VerifyConnection, against the newest authorities and
	// without a name: members are known by their certificates' authority.
	config.ClientAuth = tls.RequireAnyClientCert
	config.InsecureSkipVerify = true
	config.VerifyConnection = s.verify
	return config
}

func (s *Store) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate")
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
