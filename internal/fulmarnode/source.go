package fulmarnode

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarcontrol"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
)

// source shows a controller to the operators' API.
type source struct {
	*fulmarcontrol.Controller
}

// Status returns what the daemon knows of itself and the fleet.
func (s source) Status() fulmaradmin.Status {
	o := s.Overview()
	status := fulmaradmin.Status{
		Instance: o.Self.ID, Incarnation: o.Self.Incarnation, DataCentre: o.Self.DataCentre,
		Epoch: o.Epoch, Config: o.ConfigVersion, Store: fulmaradmin.StoreUp, Current: o.HasLease,
		Planner: o.Planner, Held: o.HeldTargets,
	}
	if o.StoreErr != nil {
		status.Store = fulmaradmin.StoreDown
	}
	if reason, ok := s.Accepting(); !ok {
		status.Refusing = string(reason)
	}
	listed := make(map[string]uint64)
	roster := s.Table().Roster()
	for _, m := range roster {
		listed[m.ID] = m.Incarnation
	}
	live := 0
	for _, m := range o.Members {
		incarnation, ok := listed[m.ID]
		status.Members = append(status.Members, fulmaradmin.Member{
			ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, State: string(m.State),
			Roster: ok && incarnation == m.Incarnation, Epoch: m.Epoch, Config: m.ConfigVersion,
		})
		if ok && m.State != fulmarmember.Down {
			live++
		}
	}
	switch {
	case o.StoreErr != nil:
		status.Stalled = "the key-value service does not answer"
	case o.Planner == "":
		status.Stalled = "no planner is elected"
	case 2*live <= len(roster):
		status.Stalled = "half of the roster is lost; confirm the lost members"
		status.Confirm = o.DownMembers
	}
	return status
}

// PutConfig stores a configuration.
func (s source) PutConfig(ctx context.Context, v fulmarconfig.Versioned, base uint64) error {
	err := s.Controller.PutConfig(ctx, v, base)
	var conflict *fulmarcontrol.ConflictError
	if errors.As(err, &conflict) {
		return &fulmaradmin.ConflictError{Current: conflict.Current}
	}
	return err
}
