package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
)

func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func writeCustomersFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "customers.ini")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// TestTokenIdentifier checks that a caller is identified by its token only,
// since otherwise its usage would be charged to another customer.
func TestTokenIdentifier(t *testing.T) {
	c := qt.New(t)
	customers, err := LoadTokenIdentifier(writeCustomersFile(t, "[customer large]\ntoken_sha256 = "+tokenDigest("one")+", "+tokenDigest("two")+"\n[customer small]\ntoken_sha256 = "+tokenDigest("three")))
	c.Assert(err, qt.IsNil)
	for token, wanted := range map[string]string{"one": "large", "two": "large", "three": "small", "four": "", "": ""} {
		request := &http.Request{Header: http.Header{}}
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set(message.HeaderCustomer, "small")
		customer, _ := customers.Identify(request)
		c.Check(customer, qt.Equals, wanted, qt.Commentf("%q", token))
	}
}

func TestBadCustomersFiles(t *testing.T) {
	for _, text := range []string{
		"",
		"[customer a]\n",
		"[customer a]\ntoken_sha256 = 12\n",
		"[operator a]\ntoken_sha256 = " + tokenDigest("x"),
		"[customer a]\ntoken_sha256 = " + tokenDigest("x") + "\n[customer b]\ntoken_sha256 = " + tokenDigest("x"),
		"[customer a]\ntoken_sha256 = " + tokenDigest("x") + "\nrole = y\n",
		"[customer a]\ntoken_sha256 = " + tokenDigest("x") + "\n[customer b]\ntoken_sha256 =\n",
		"[customer a]\ntoken_sha256 = " + tokenDigest("x") + ", " + tokenDigest("") + "\n",
	} {
		_, err := LoadTokenIdentifier(writeCustomersFile(t, text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", text))
	}
}

// TestCallersCannotForgeFleetHeaders checks that reserved headers from a caller
// are not forwarded: with them it could choose attempt IDs, bar keys, or act as
// another customer towards the agents.
func TestCallersCannotForgeFleetHeaders(t *testing.T) {
	c := qt.New(t)
	header := http.Header{}
	for _, name := range []string{message.HeaderAttempt, message.HeaderIncarnation, message.HeaderCustomer, message.HeaderRepeatable, message.HeaderRefusal, "x-plantain-new"} {
		header.Set(name, "forged")
	}
	header.Set("X-Site", "7")
	e := &exchange{handler: &Handler{}, r: &http.Request{Header: header}, customer: "small"}
	sent := e.attemptHeader()
	for name, values := range sent {
		c.Check(values, qt.Not(qt.DeepEquals), []string{"forged"}, qt.Commentf("%s", name))
	}
	c.Check(sent.Get(message.HeaderCustomer), qt.Equals, "small")
	c.Check(sent.Get("X-Site"), qt.Equals, "7")
}
