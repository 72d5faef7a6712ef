package settings

import (
	"crypto/tls"

	"plantainrelay/internal/certs"
)

const sectionTLS = "tls"

// CertificateFiles reads the keys prefix_certificate_file, prefix_key_file and
// prefix_ca_file of the section tls and checks that the files can be used.
// needsCA makes prefix_ca_file required when one of the other keys is set.
func (r *Reader) CertificateFiles(prefix string, needsCA bool) certs.Files {
	files := certs.Files{
		Certificate: r.String(sectionTLS, prefix+"_certificate_file", ""),
		Key:         r.String(sectionTLS, prefix+"_key_file", ""),
		CA:          r.String(sectionTLS, prefix+"_ca_file", ""),
	}
	if files == (certs.Files{}) {
		return files
	}
	complete := r.requireFile(prefix+"_certificate_file", files.Certificate)
	complete = r.requireFile(prefix+"_key_file", files.Key) && complete
	if needsCA {
		complete = r.requireFile(prefix+"_ca_file", files.CA) && complete
	}
	if !complete {
		return certs.Files{}
	}
	if _, err := files.Server(tls.RequireAndVerifyClientCert); err != nil {
		r.AddProblem(sectionTLS, prefix+"_certificate_file", err.Error(), "the path of a PEM certificate that belongs to the key and is readable")
	}
	return files
}

func (r *Reader) requireFile(key, value string) bool {
	if value == "" {
		r.AddProblem(sectionTLS, key, "missing, although other keys of the same certificate are set", "the path of a PEM file, or remove the others")
	}
	return value != ""
}
