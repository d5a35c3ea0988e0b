package main

// The TLS keys of the frontend, as the operator's file names them.

import (
	"crypto/tls"

	"fennelarch/internal/frontend"
	"fennelarch/internal/operatorconfig"
)

// Values of the operator's file, section tls.
const (
	clientCertRequired = "required"
	minVersionTLS13    = "1.3"
)

// tlsFiles returns the files and options of the frontend's TLS.
func tlsFiles(settings *operatorconfig.FrontendTLS) frontend.TLSFiles {
	files := frontend.TLSFiles{
		Cert:               settings.CertFile,
		Key:                settings.KeyFile,
		ClientCA:           settings.ClientCAFile,
		ClientCertRequired: settings.Client == clientCertRequired,
	}
	if settings.MinVersion == minVersionTLS13 {
		files.MinVersion = tls.VersionTLS13
	}
	return files
}
