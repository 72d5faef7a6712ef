package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
	"plantainrelay/test/checker"
	"plantainrelay/test/cluster"
)

const (
	editTimeout          = 15 * time.Second
	editInterval         = 4 * time.Second
	releaseTries         = 20
	releaseRetryInterval = 500 * time.Millisecond
)

// target is a published model version that the tables can name as the target version.
type target struct {
	version     string
	manifest    weights.Digest
	wholeDigest weights.Digest
}

// operators simulates operators who edit the tables, and records the results.
type operators struct {
	deployment Deployment
	cluster    *cluster.Cluster
	pickEntry  func() string

	mu         sync.Mutex
	edits      []checker.Edit
	target     target
	editNumber int
}

// raceEdits lets two operators repeatedly edit the same revision at once, until ctx ends.
func (o *operators) raceEdits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(editInterval):
		}
		expected, err := o.currentRevision(o.pickEntry())
		if err != nil {
			continue
		}
		var both sync.WaitGroup
		for operator := range 2 {
			both.Add(1)
			go func() {
				defer both.Done()
				o.applyEdit(operator, expected, o.nextTables())
			}()
		}
		both.Wait()
	}
}

// nextTables returns tables with the current target version and a new edit number.
func (o *operators) nextTables() table.Tables {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.editNumber++
	return o.deployment.tables(o.target.version, o.target.manifest, o.editNumber)
}

// release makes a version the target. It retries because a concurrent edit may come first.
func (o *operators) release(to target) error {
	o.mu.Lock()
	o.target = to
	o.mu.Unlock()
	var last checker.Edit
	for range releaseTries {
		if expected, err := o.currentRevision(o.pickEntry()); err == nil {
			last = o.applyEdit(2, expected, o.nextTables())
			if last.Result == checker.Accepted {
				return nil
			}
		}
		time.Sleep(releaseRetryInterval)
	}
	return fmt.Errorf("no edit that releases version %s was accepted; last result: %s", to.version, last.Detail)
}

func (o *operators) applyEdit(operator int, expected int64, tables table.Tables) checker.Edit {
	edit := checker.Edit{ID: uuid.NewString(), Operator: operator, Expected: expected, Sent: time.Now()}
	var accepted admin.Accepted
	status, detail := o.call(http.MethodPut, o.pickEntry(), admin.Edit{ID: edit.ID, ExpectedRevision: expected, Tables: tables}, &accepted)
	edit.Ended, edit.Detail = time.Now(), detail
	switch status {
	case http.StatusOK:
		edit.Result, edit.Revision = checker.Accepted, accepted.Revision
	case 0, http.StatusGatewayTimeout, http.StatusInternalServerError:
		edit.Result = checker.Uncertain
	default:
		edit.Result = checker.Refused
	}
	o.mu.Lock()
	o.edits = append(o.edits, edit)
	o.mu.Unlock()
	return edit
}

func (o *operators) currentRevision(entry string) (int64, error) {
	var snapshot table.Snapshot
	status, detail := o.call(http.MethodGet, entry, nil, &snapshot)
	if status != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", status, detail)
	}
	return snapshot.Revision, nil
}

// call sends an administration request; status 0 means no valid response.
func (o *operators) call(method, entry string, in, out any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, err.Error()
	}
	request, err := http.NewRequestWithContext(ctx, method, o.cluster.AdminURL(entry)+"/v1/tables", bytes.NewReader(raw))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+o.cluster.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	if response.StatusCode == http.StatusOK && json.Unmarshal(body, out) != nil {
		return 0, "response body is not valid JSON"
	}
	return response.StatusCode, string(body)
}
