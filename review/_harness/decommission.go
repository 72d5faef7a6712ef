package main

import (
	"net/http"
	"strings"
	"time"

	"plantainrelay/platform/standin"
)

func init() { cases["service-removed-during-release"] = playServiceRemovedDuringRelease }

// playServiceRemovedDuringRelease removes a model service from the manifest while a new
// version of its weights cannot be fetched, since the origin hands out no pieces.
func playServiceRemovedDuringRelease(f *fleet, trouble bool) (bool, error) {
	origin := standin.NewOrigin(modelWeights)
	address, err := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/piece/") && r.URL.Query().Get("Version") == "2" {
			panic(http.ErrAbortHandler)
		}
		origin.ServeHTTP(w, r)
	}))
	if err != nil {
		return false, err
	}
	if err := f.publish(modelTable(address)); err != nil {
		return false, err
	}
	if err := f.addEntries(3); err != nil {
		return false, err
	}
	if err := f.addBackends(modelPool, 3, nil); err != nil {
		return false, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := f.store.Put(standin.KindReleases, modelWeights.Model, standin.EncodeRelease(modelWeights.Model, 2)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		next := modelTable(address)
		next["Version"], next["Routes"], next["Services"] = 5, []map[string]any{}, []map[string]any{}
		if err := f.publish(next); err != nil {
			return false, err
		}
	}
	time.Sleep(55 * time.Second)
	ended := f.exits()
	f.verdict("processes that have ended by themselves: %v", ended)
	return len(ended) > 0, nil
}
