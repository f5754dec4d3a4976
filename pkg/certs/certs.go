// Package certs provides TLS configurations whose certificates are reloaded when their files
// change. Package entry uses it for its listeners and its connections to peers.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/schema"
)

// checkInterval is the shortest time between checks of the files for changes.
const checkInterval = time.Second

// Reloader holds a certificate with its key and, for peers, the certificate authorities.
type Reloader struct {
	files schema.TLS

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time // latest modification time of the loaded files
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// New loads the files; it fails if they cannot be read or parsed.
func New(files schema.TLS) (r *Reloader, err error) {
	r = &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) load() (err error) {
	defer func() { err = errors.Wrap(err, "load certificate") }()
	modTime, err := r.newestModTime()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(r.files.CertFile, r.files.KeyFile)
	if err != nil {
		return err
	}
	var roots *x509.CertPool
	if r.files.CAFile != "" {
		pem, err := os.ReadFile(r.files.CAFile)
		if err != nil {
			return err
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return errors.Errorf("CA file %s contains no PEM certificate", r.files.CAFile)
		}
	}
	r.cert, r.roots, r.modTime, r.checkedAt = &cert, roots, modTime, time.Now()
	return nil
}

// newestModTime returns the latest modification time of the files.
func (r *Reloader) newestModTime() (t time.Time, err error) {
	for _, f := range []string{r.files.CertFile, r.files.KeyFile, r.files.CAFile} {
		if f == "" {
			continue
		}
		info, err := os.Stat(f)
		if err != nil {
			return t, err
		}
		if info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t, nil
}

// current returns the certificate and authorities, reloading them if the files changed. If they
// cannot be loaded, for example while only one file is replaced, the previous ones remain in
// use.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= checkInterval {
		r.checkedAt = time.Now()
		if modTime, err := r.newestModTime(); err == nil && !modTime.Equal(r.modTime) {
			_ = r.load() // retried at the next check
		}
	}
	return r.cert, r.roots
}

// Server returns the configuration of a listener for callers or operators.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}

// PeerServer returns the configuration of the peer listener, which requires client certificates
// from the authorities.
func (r *Reloader) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := r.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// PeerClient returns the configuration for connections to peers. The peer's certificate is
// verified against the authorities but not against a host name, because a peer's address
// changes when its VM is replaced.
func (r *Reloader) PeerClient() *tls.Config {
	cert, roots := r.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("the peer presented no certificate")
			}
			inter := x509.NewCertPool()
			for _, c := range cs.PeerCertificates[1:] {
				inter.AddCert(c)
			}
			_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: roots, Intermediates: inter,
				KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
			})
			return errors.Wrap(err, "verify the peer's certificate")
		},
	}
}
