package main

// This file converts the TLS section of the operator's file into options of the frontend.

import (
	"crypto/tls"

	"fennelarch/internal/frontend"
	"fennelarch/internal/operatorconfig"
)

// Values in the TLS section of the operator's file.
const (
	clientCertRequired = "required"
	minVersionTLS13    = "1.3"
)

// tlsFiles returns the key files and TLS options of the frontend.
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
