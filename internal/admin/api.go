package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/propagate"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
	"plantainrelay/internal/tabletext"
)

// API serves the administration API.
type API struct {
	operators *Operators
	editor    *Editor
	sync      *tablesync.Sync
	states    func() map[string]message.StateReply
	log       *logrus.Entry
}

// New returns an API. states returns the last known state of each agent.
func New(operators *Operators, editor *Editor, sync *tablesync.Sync, states func() map[string]message.StateReply, log *logrus.Entry) *API {
	return &API{operators: operators, editor: editor, sync: sync, states: states, log: log}
}

// Problem is the body of every error response.
type Problem struct {
	Kind    failure.Kind `json:"kind"`
	Message string       `json:"message"`
	// Conflict is set if Kind is failure.Conflict and the current tables are
	// known.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Accepted is the response to an accepted edit.
type Accepted struct {
	Revision int64  `json:"revision"`
	EditID   string `json:"edit_id"`
}

// TablesStatus reports where a revision is in force, and the state of the store
// and of the instances as observed by the entry that answers.
type TablesStatus struct {
	// Revision is the requested revision, or the entry's current one if the
	// request names none.
	Revision int64 `json:"revision"`
	// State reports whether the entry may serve from its tables.
	State propagate.FreshnessState `json:"state"`
	Store tablesync.StoreStatus    `json:"store"`
	// Members is the number of instances in each status.
	Members map[member.PeerStatus]int `json:"members"`
	// AvailabilityZones is the result of a survey of all instances.
	AvailabilityZones map[string]message.SurveyReply `json:"availability_zones"`
}

// Status is the state of the fleet as known to this entry.
type Status struct {
	Revision int64                         `json:"revision"`
	Agents   map[string]message.StateReply `json:"agents"`
}

type handler func(w http.ResponseWriter, r *http.Request, operator Operator) error

// Routes returns the HTTP routes of the API.
func (a *API) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/tables", Handler: a.requireRole(RoleViewer, a.getTables)},
		{Method: http.MethodPost, Path: "/v1/tables/validate", Handler: a.requireRole(RoleViewer, a.validate)},
		{Method: http.MethodPost, Path: "/v1/tables/diff", Handler: a.requireRole(RoleViewer, a.diff)},
		{Method: http.MethodGet, Path: "/v1/tables/history", Handler: a.requireRole(RoleViewer, a.history)},
		{Method: http.MethodGet, Path: "/v1/tables/status", Handler: a.requireRole(RoleViewer, a.tablesStatus)},
		{Method: http.MethodPut, Path: "/v1/tables", Handler: a.requireRole(RoleEditor, a.apply)},
		{Method: http.MethodPost, Path: "/v1/tables/rollback", Handler: a.requireRole(RoleEditor, a.rollback)},
		{Method: http.MethodPost, Path: "/v1/tables/recover", Handler: a.requireRole(RoleEditor, a.recover)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: a.requireRole(RoleViewer, a.status)},
	}
}

// statusByKind maps each kind of error to an HTTP status.
var statusByKind = map[failure.Kind]int{
	failure.Invalid:      http.StatusUnprocessableEntity,
	failure.Refused:      http.StatusForbidden,
	failure.Conflict:     http.StatusConflict,
	failure.NotFound:     http.StatusNotFound,
	failure.Unauthorized: http.StatusUnauthorized,
	failure.NotReachable: http.StatusServiceUnavailable,
	failure.Unknown:      http.StatusGatewayTimeout,
	failure.Internal:     http.StatusInternalServerError,
}

func (a *API) requireRole(needed Role, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		err := a.authorize(r, needed, func(operator Operator) error { return next(w, r, operator) })
		if err != nil {
			httpx.WriteJson(w, statusByKind[failure.KindOf(err)], problemOf(err))
		}
	}
}

func problemOf(err error) Problem {
	problem := Problem{Kind: failure.KindOf(err), Message: err.Error()}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		problem.Conflict = &conflict.Conflict
	}
	return problem
}

func (a *API) authorize(r *http.Request, needed Role, next func(Operator) error) error {
	operator, found := a.operators.authenticate(r)
	if !found {
		return failure.New(failure.Unauthorized, "send a valid operator token as Authorization: Bearer", "the operator token is missing or wrong")
	}
	if needed == RoleEditor && operator.Role != RoleEditor {
		return failure.New(failure.Refused, "use the token of an operator with the role editor", "operator %s may not edit", operator.Name)
	}
	return next(operator)
}

func (a *API) getTables(w http.ResponseWriter, _ *http.Request, _ Operator) error {
	snapshot := a.sync.Current()
	if snapshot == nil {
		snapshot = &table.Snapshot{}
	}
	httpx.WriteJson(w, http.StatusOK, snapshot)
	return nil
}

func (a *API) validate(w http.ResponseWriter, r *http.Request, _ Operator) error {
	edit, err := readEdit(r)
	if err != nil {
		return err
	}
	problems := table.Validate(&edit.Tables)
	if problems == nil {
		problems = []table.Problem{}
	}
	httpx.WriteJson(w, http.StatusOK, problems)
	return nil
}

func (a *API) diff(w http.ResponseWriter, r *http.Request, _ Operator) error {
	edit, err := readEdit(r)
	if err != nil {
		return err
	}
	current := a.sync.Current()
	if current == nil {
		current = &table.Snapshot{}
	}
	lines := tabletext.Diff(&current.Tables, &edit.Tables)
	if lines == nil {
		lines = []string{}
	}
	httpx.WriteJson(w, http.StatusOK, TablesDiff{Revision: current.Revision, Lines: lines})
	return nil
}

// TablesDiff is the difference from the tables in force to the submitted ones.
type TablesDiff struct {
	Revision int64    `json:"revision"`
	Lines    []string `json:"lines"`
}

func (a *API) history(w http.ResponseWriter, _ *http.Request, _ Operator) error {
	edits := []table.EditRecord{}
	if current := a.sync.Current(); current != nil {
		edits = append(edits, current.Edits...)
	}
	httpx.WriteJson(w, http.StatusOK, edits)
	return nil
}

func (a *API) tablesStatus(w http.ResponseWriter, r *http.Request, _ Operator) error {
	revision := a.sync.Revision()
	if text := r.URL.Query().Get("revision"); text != "" {
		requested, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return failure.Wrap(err, failure.Invalid, "give a whole number", "the query parameter revision is not a whole number")
		}
		revision = requested
	}
	httpx.WriteJson(w, http.StatusOK, TablesStatus{
		Revision:          revision,
		State:             a.sync.State(),
		Store:             a.sync.Store(),
		Members:           a.sync.StatusCounts(),
		AvailabilityZones: a.sync.Survey(r.Context(), revision),
	})
	return nil
}

func (a *API) apply(w http.ResponseWriter, r *http.Request, operator Operator) error {
	edit, err := readEdit(r)
	if err != nil {
		return err
	}
	record, err := a.editor.Apply(r.Context(), operator.Name, edit)
	return a.respondToEdit(w, operator, edit.ID, record, err)
}

func (a *API) rollback(w http.ResponseWriter, r *http.Request, operator Operator) error {
	var rollback Rollback
	if err := readJSON(r, &rollback); err != nil {
		return err
	}
	record, err := a.editor.Rollback(r.Context(), operator.Name, rollback)
	return a.respondToEdit(w, operator, rollback.ID, record, err)
}

// RecoverRequest is a request to write the fleet's tables to a store that was
// restored to an older state.
type RecoverRequest struct {
	ID string `json:"edit_id"`
}

func (a *API) recover(w http.ResponseWriter, r *http.Request, operator Operator) error {
	var request RecoverRequest
	if err := readJSON(r, &request); err != nil {
		return err
	}
	record, err := a.editor.Recover(r.Context(), operator.Name, request.ID)
	return a.respondToEdit(w, operator, request.ID, record, err)
}

// respondToEdit writes the audit log line of an edit and, if it was accepted,
// the response.
func (a *API) respondToEdit(w http.ResponseWriter, operator Operator, editID string, record *table.EditRecord, err error) error {
	audit := a.log.WithFields(logrus.Fields{"audit": true, "operator": operator.Name, "edit": editID})
	if err != nil {
		audit.WithError(err).Warning("edit rejected or failed")
		return err
	}
	audit.WithFields(logrus.Fields{logging.FieldRevision: record.Revision, "edit": record.EditID}).Info("edit accepted")
	httpx.WriteJson(w, http.StatusOK, Accepted{Revision: record.Revision, EditID: record.EditID})
	return nil
}

func (a *API) status(w http.ResponseWriter, _ *http.Request, _ Operator) error {
	httpx.WriteJson(w, http.StatusOK, Status{Revision: a.sync.Revision(), Agents: a.states()})
	return nil
}

func readEdit(r *http.Request) (Edit, error) {
	var edit Edit
	err := readJSON(r, &edit)
	return edit, err
}

func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	return failure.Wrap(err, failure.Invalid, "send JSON with the fields of docs/openapi.yaml only", "the request body cannot be decoded")
}
