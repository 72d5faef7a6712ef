package tabletext_test

import (
	"reflect"
	"testing"

	"plantainrelay/internal/tabletext"
)

// FuzzTables checks that tables accepted by Parse are unchanged after a round
// trip through Format and Parse.
func FuzzTables(f *testing.F) {
	f.Add("[pool model]\nkind = model\ninstances = model-*\nversion = v1\nmanifest = 0000000000000000000000000000000000000000000000000000000000000000\n[route all]\npath = /\npool = model\nrepeatable = yes\n")
	f.Add("[pool a]\nkind = service\ninstances = a, b\n[route b]\npool = a\ncustomer = large\nheader.X-Site = 7\npriority = urgent\ndeadline = 20s\n")
	f.Add("[route a]\npool = b\n[pool]\n[x]\ny = z\n")
	f.Add("[route a]\ndeadline = 9999999h\npool = `a`\n[route a]\n")
	f.Fuzz(func(t *testing.T, text string) {
		tables, err := tabletext.Parse([]byte(text))
		if err != nil {
			return
		}
		again, err := tabletext.Parse(tabletext.Format(tables))
		if err != nil {
			t.Fatalf("the formatted tables are rejected: %v\n%s", err, tabletext.Format(tables))
		}
		if !reflect.DeepEqual(again, tables) {
			t.Fatalf("%+v became %+v after a round trip", tables, again)
		}
	})
}
