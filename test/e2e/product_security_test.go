package e2e_test

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/certs"
	"plantainrelay/internal/message"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

// tlsClient returns a client that trusts the authority. If name is not empty,
// the client presents the certificate issued under that name.
func tlsClient(t *testing.T, authority *cluster.Authority, name string) *http.Client {
	t.Helper()
	pool, err := certs.LoadPool(authority.Path("ca.crt"))
	qt.Assert(t, err, qt.IsNil)
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if name != "" {
		pair, err := tls.LoadX509KeyPair(authority.Path(name+".crt"), authority.Path(name+".pem"))
		qt.Assert(t, err, qt.IsNil)
		config.Certificates = []tls.Certificate{pair}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
}

func certificateSettings(prefix string, authority *cluster.Authority, name string) string {
	return fmt.Sprintf("%s_certificate_file = %s\n%s_key_file = %s\n%s_ca_file = %s\n",
		prefix, authority.Path(name+".crt"), prefix, authority.Path(name+".pem"), prefix, authority.Path("ca.crt"))
}

// TestMutualTLSAndCustomerKeys runs the whole request path with mutual TLS on
// every connection and customers authenticated by their keys. It checks that the
// entry's public listener and the agent's listener reject clients whose credentials
// are missing or wrong.
func TestMutualTLSAndCustomerKeys(t *testing.T) {
	c := qt.New(t)
	authority, err := cluster.NewAuthority(t.TempDir())
	c.Assert(err, qt.IsNil)
	c.Assert(authority.Issue("fleet", "plantainrelay"), qt.IsNil)
	c.Assert(authority.Issue("caller", "caller"), qt.IsNil)
	foreignAuthority, err := cluster.NewAuthority(t.TempDir())
	c.Assert(err, qt.IsNil)
	c.Assert(foreignAuthority.Issue("stranger", "plantainrelay"), qt.IsNil)

	keys := filepath.Join(t.TempDir(), "customers.ini")
	hash := sha256.Sum256([]byte("token of the small customer"))
	c.Assert(os.WriteFile(keys, []byte("[customer small]\ntoken_sha256 = "+hex.EncodeToString(hash[:])), 0o600), qt.IsNil)
	fleetTLS := "[tls]\n" + certificateSettings("fleet", authority, "fleet")
	caller := tlsClient(t, authority, "caller")
	fleet := startCluster(t, cluster.Config{
		IP:               authority.IP,
		Client:           caller,
		CustomerSettings: "keys_file = " + keys,
		Entries: []cluster.Instance{{Name: "entry-1", AvailabilityZone: "a", Region: "north",
			ExtraSettings: fleetTLS + certificateSettings("callers", authority, "fleet") + certificateSettings("admin", authority, "fleet")}},
		Agents: []cluster.Instance{
			{Name: "model-1", AvailabilityZone: "a", Region: "north", ExtraSettings: fleetTLS},
			{Name: "model-2", AvailabilityZone: "a", Region: "north", ExtraSettings: fleetTLS},
		},
	})
	manifest, err := fleet.Publish("v1", "", randomWeights(1, 1<<20), 64<<10)
	c.Assert(err, qt.IsNil)
	_, err = fleet.Apply("entry-1", 0, modelAndBookingTables("v1", manifest))
	c.Assert(err, qt.IsNil)
	c.Assert(fleet.WaitVersion(waitContext(t), "entry-1", "v1", "model-1", "model-2"), qt.IsNil)

	lookup := func(client *http.Client, token string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, fleet.PublicURL("entry-1")+"/lookup", strings.NewReader("site"))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set(message.HeaderCustomer, "large")
		return client.Do(request)
	}
	response, err := lookup(caller, "token of the small customer")
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.Header.Get(message.HeaderOutcome), qt.Equals, "done")
	checkBackendCustomer(t, fleet, "small")
	response, err = lookup(caller, "guessed")
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusUnauthorized)
	for _, client := range []*http.Client{tlsClient(t, authority, ""), tlsClient(t, foreignAuthority, "stranger")} {
		_, err = lookup(client, "token of the small customer")
		c.Assert(err, qt.IsNotNil)
	}
	checkAgentRejectsCredentials(t, fleet, authority)
	out := ctl(t, fleet, "entry-1", "status", "--ca-file", authority.Path("ca.crt"),
		"--certificate-file", authority.Path("caller.crt"), "--key-file", authority.Path("caller.pem"))
	c.Assert(strings.Contains(string(out), "model-1"), qt.IsTrue, qt.Commentf("%s", out))
}

// checkBackendCustomer checks that the backend servers received exactly one
// request and that it names the wanted customer.
func checkBackendCustomer(t *testing.T, fleet *cluster.Cluster, wanted string) {
	t.Helper()
	var all []standin.Execution
	for _, agent := range []string{"model-1", "model-2"} {
		var runs []standin.Execution
		qt.Assert(t, cluster.GetJSON(fleet.BackendURL(agent)+"/records/engine", &runs), qt.IsNil)
		all = append(all, runs...)
	}
	qt.Assert(t, all, qt.HasLen, 1)
	qt.Assert(t, all[0].Customer, qt.Equals, wanted)
}

// checkAgentRejectsCredentials checks that an agent rejects requests that have
// the fleet key but no certificate, or a certificate but not the fleet key.
func checkAgentRejectsCredentials(t *testing.T, fleet *cluster.Cluster, authority *cluster.Authority) {
	t.Helper()
	for _, sample := range []struct {
		client *http.Client
		key    string
	}{{tlsClient(t, authority, ""), "test fleet key"}, {tlsClient(t, authority, "caller"), "guessed"}} {
		for _, path := range []string{"/attempt/lookup", "/plantain/v1/chunks/" + strings.Repeat("0", 64) + "/0"} {
			request, err := http.NewRequest(http.MethodGet, "https://"+fleet.Listed("model-1").HTTPAddress+path, nil)
			qt.Assert(t, err, qt.IsNil)
			request.Header.Set("Authorization", "Bearer "+sample.key)
			response, err := sample.client.Do(request)
			qt.Assert(t, err, qt.IsNil)
			response.Body.Close()
			qt.Assert(t, response.StatusCode, qt.Equals, http.StatusUnauthorized)
		}
	}
}
