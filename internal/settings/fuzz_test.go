package settings_test

import (
	"strings"
	"testing"
	"time"

	"plantainrelay/internal/settings"
)

// FuzzSettings checks that any settings file is either accepted or rejected with
// a message that names the file, and that the reader returns only values within
// their bounds.
func FuzzSettings(f *testing.F) {
	f.Add("[a]\nnumber = 5\ntime = 3s\nsize = 8MiB\naddress = 127.0.0.1:80\nurl = http://10.0.0.1:9\nchoice = x\n")
	f.Add("[a]\nnumber = 999999999999999999999\ntime = -1s\nsize = 9223372036854775807GiB\naddress = [::1\nurl = ://\nchoice =\n")
	f.Add("[a]\n[a]\nnumber\n=\n[")
	f.Add("number = 1\n[b]\nx = \"\"\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := settings.Parse("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		number := r.Int("a", "number", 5, 1, 10)
		duration := r.Duration("a", "time", time.Second, time.Second, time.Minute)
		size := r.Bytes("a", "size", 1, 1, 1<<30)
		address, url := r.Address("a", "address"), r.URL("a", "url")
		choice := r.Choice("a", "choice", "x", "x", "y")
		if number < 1 || number > 10 || duration < time.Second || duration > time.Minute || size < 1 || size > 1<<30 {
			t.Fatalf("out of bounds: %d %s %d", number, duration, size)
		}
		if err := r.Finish(); err != nil {
			if !strings.Contains(err.Error(), "fuzz.ini") {
				t.Fatalf("the message does not name the file: %v", err)
			}
			return
		}
		if address == "" || url == "" || (choice != "x" && choice != "y") {
			t.Fatalf("accepted without a value: %q %q %q", address, url, choice)
		}
	})
}
