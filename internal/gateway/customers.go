package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"gopkg.in/ini.v1"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
)

// CustomerIdentifier identifies the customer that sent a request.
type CustomerIdentifier interface {
	// Identify returns the customer, or an empty name and how the caller can
	// correct the request.
	Identify(r *http.Request) (customer, remedy string)
}

// HeaderIdentifier trusts the header that names the customer. Use it only in
// networks in which nobody else can reach the entries.
type HeaderIdentifier struct{}

// Identify implements CustomerIdentifier.
func (HeaderIdentifier) Identify(r *http.Request) (string, string) {
	customer := r.Header.Get(message.HeaderCustomer)
	if !validCustomer(customer) {
		return "", fmt.Sprintf("name the customer in the header %s, with at most %d printable characters", message.HeaderCustomer, maxCustomerBytes)
	}
	return customer, ""
}

// maxCustomerBytes limits the length of a customer's name.
const maxCustomerBytes = 64

func validCustomer(name string) bool {
	if name == "" || len(name) > maxCustomerBytes {
		return false
	}
	for _, char := range []byte(name) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return true
}

// TokenIdentifier identifies customers by bearer tokens.
type TokenIdentifier struct {
	// customerByHash maps the SHA-256 digest of a token to the customer. A look-up
	// by digest leaks nothing about how close a guessed token was.
	customerByHash map[[sha256.Size]byte]string
}

// LoadTokenIdentifier reads the customer key file. Each customer has an INI
// section [customer NAME] with the key token_sha256, which may list several
// digests separated by commas, so that a token can be rotated.
func LoadTokenIdentifier(path string) (*TokenIdentifier, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "give the path of a readable INI file", "the customer key file %s cannot be read", path)
	}
	identifier := &TokenIdentifier{customerByHash: map[[sha256.Size]byte]string{}}
	var problems []string
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if problem := identifier.addSection(section); problem != "" {
			problems = append(problems, fmt.Sprintf("%s: [%s] %s", path, section.Name(), problem))
		}
	}
	if len(problems) > 0 {
		return nil, failure.New(failure.Invalid, "correct these lines", "%d problem(s) in the customer key file: %s", len(problems), strings.Join(problems, "; "))
	}
	if len(identifier.customerByHash) == 0 {
		return nil, failure.New(failure.Invalid, "add a section [customer NAME]", "%s defines no customer", path)
	}
	return identifier, nil
}

func (c *TokenIdentifier) addSection(section *ini.Section) string {
	name, found := strings.CutPrefix(section.Name(), "customer ")
	if !found || !validCustomer(name) {
		return "unknown section; use [customer NAME]"
	}
	digests := section.Key("token_sha256").Strings(",")
	if len(digests) == 0 {
		return "token_sha256: set it to the SHA-256 digests of the customer's tokens in hexadecimal"
	}
	for _, text := range digests {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			return "token_sha256: set it to the SHA-256 digests of the customer's tokens in hexadecimal"
		}
		hash := [sha256.Size]byte(raw)
		if hash == sha256.Sum256(nil) {
			return "token_sha256: it is the digest of an empty token; choose a secret one"
		}
		if other, taken := c.customerByHash[hash]; taken && other != name {
			return "token_sha256: " + other + " has the same token; give each customer its own"
		}
		c.customerByHash[hash] = name
	}
	if !section.HasKey("token_sha256") || len(section.Keys()) != 1 {
		return "set token_sha256 and no other key"
	}
	return ""
}

// Identify implements CustomerIdentifier.
func (c *TokenIdentifier) Identify(r *http.Request) (string, string) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	customer, found := c.customerByHash[sha256.Sum256([]byte(token))]
	if !found {
		return "", "send a valid customer's token as Authorization: Bearer"
	}
	return customer, ""
}
