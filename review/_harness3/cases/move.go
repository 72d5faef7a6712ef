package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/review/_harness3/rig"
)

// newBookings is the service to which the second version of the tables moves the route.
const newBookings = "desk-api-2"

// storeMoves changes the settings file of running entries and sends them SIGHUP. With the
// disruption, the file names a new address of the store, which soon serves only there. Then the
// operator moves the route to another service.
func storeMoves(r *rig.Rig) (bool, error) {
	const (
		// afterChange is the time that the entries have for the change of their settings, more
		// than StableMs.
		afterChange = 8 * time.Second
		// applyTime is ConfigApplyMs, stretched by StretchMaxMs.
		applyTime = 2*time.Second + 5*time.Second
		requests  = 20
	)
	entries, _, err := startEntries(r, 2, table("/visits/"))
	if err != nil {
		return false, err
	}
	if _, err := r.StartInstance(61, newBookings, 6, 30*time.Millisecond); err != nil {
		return false, err
	}
	change := newSettings(false)
	if r.Trouble {
		old := r.StoreAddress
		if err := r.AddStoreAddress(); err != nil {
			return false, err
		}
		change = func(text string) string { return strings.Replace(text, old, r.StoreAddress, 1) }
	}
	for _, entry := range entries {
		if err := r.ChangeSettings(entry, change); err != nil {
			return false, err
		}
		r.Record("the settings file of %s changes; SIGHUP", entry.Name)
		if err := entry.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	time.Sleep(afterChange)
	r.LeaveOldStoreAddresses()
	r.Record("the store serves %s only", r.StoreAddress)
	time.Sleep(afterChange)
	second := table("/visits/")
	second.Version, second.Routes[0].Pool = 2, newBookings
	second.Pools = append(second.Pools, standin.Pool{Name: newBookings})
	if err := r.Store.Put(standin.KindTables, standin.TableName, second.Encode()); err != nil {
		return false, err
	}
	r.Record("version 2 of the tables moves the route to %s", newBookings)
	time.Sleep(applyTime)
	old := 0
	for number := 1; number <= requests; number++ {
		id := fmt.Sprintf("m-%d", number)
		answer := book(r, 1+number%2, id, "/visits/"+id)
		if strings.HasPrefix(answer.Header.Get("Response-Seal"), "i-"+bookings+"-5") {
			old++
		}
	}
	r.Record("%d of %d requests ran at the old service", old, requests)
	return old > 0, nil
}
