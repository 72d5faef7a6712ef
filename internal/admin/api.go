package admin

import (
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/message"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
)

// API serves the administration API.
type API struct {
	operators *Operators
	editor    *Editor
	sync      *tablesync.Sync
	states    func() map[string]message.StateReply
	log       *logrus.Entry
}

// New returns the API; states returns the last known state of each agent.
func New(operators *Operators, editor *Editor, sync *tablesync.Sync, states func() map[string]message.StateReply, log *logrus.Entry) *API {
	return &API{operators: operators, editor: editor, sync: sync, states: states, log: log}
}

// Problem is the body of every answer that is not a success.
type Problem struct {
	Kind    failure.Kind `json:"kind"`
	Message string       `json:"message"`
}

// Accepted is the answer to an accepted edit.
type Accepted struct {
	Revision int64  `json:"revision"`
	EditID   string `json:"edit_id"`
}

// Status is the state of the fleet as this entry knows it.
type Status struct {
	Revision int64                         `json:"revision"`
	Agents   map[string]message.StateReply `json:"agents"`
}

type handler func(w http.ResponseWriter, r *http.Request, operator Operator) error

// Routes returns the HTTP routes of the API.
func (a *API) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/tables", Handler: a.guard(RoleViewer, a.getTables)},
		{Method: http.MethodPost, Path: "/v1/tables/validate", Handler: a.guard(RoleViewer, a.validate)},
		{Method: http.MethodPut, Path: "/v1/tables", Handler: a.guard(RoleEditor, a.apply)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: a.guard(RoleViewer, a.status)},
	}
}

// statusByKind gives the HTTP status of each kind of error.
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

func (a *API) guard(needed Role, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		err := a.authorize(r, needed, func(operator Operator) error { return next(w, r, operator) })
		if err != nil {
			httpx.WriteJson(w, statusByKind[failure.Of(err)], Problem{Kind: failure.Of(err), Message: err.Error()})
		}
	}
}

func (a *API) authorize(r *http.Request, needed Role, next func(Operator) error) error {
	operator, found := a.operators.identify(r)
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

func (a *API) apply(w http.ResponseWriter, r *http.Request, operator Operator) error {
	edit, err := readEdit(r)
	if err != nil {
		return err
	}
	snapshot, err := a.editor.Apply(r.Context(), operator.Name, edit)
	audit := a.log.WithFields(logrus.Fields{"audit": true, "operator": operator.Name, "edit": edit.ID})
	if err != nil {
		audit.WithError(err).Warning("edit not accepted")
		return err
	}
	audit.WithField(logging.FieldRevision, snapshot.Revision).Info("edit accepted")
	httpx.WriteJson(w, http.StatusOK, Accepted{Revision: snapshot.Revision, EditID: snapshot.EditID})
	return nil
}

func (a *API) status(w http.ResponseWriter, _ *http.Request, _ Operator) error {
	httpx.WriteJson(w, http.StatusOK, Status{Revision: a.sync.Revision(), Agents: a.states()})
	return nil
}

func readEdit(r *http.Request) (Edit, error) {
	var edit Edit
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&edit)
	return edit, failure.Wrap(err, failure.Invalid, "send the tables as JSON with known fields only", "the edit cannot be read")
}
