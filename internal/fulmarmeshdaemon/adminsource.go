package fulmarmeshdaemon

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarcontrol"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
)

// adminSource adapts a controller to the Source interface of the operators' API.
type adminSource struct {
	*fulmarcontrol.Controller
}

// Status returns the state of the daemon and its view of the fleet.
func (s adminSource) Status() fulmaradmin.Status {
	overview := s.Overview()
	status := fulmaradmin.Status{
		Instance: overview.Self.ID, Incarnation: overview.Self.Incarnation, DataCentre: overview.Self.DataCentre,
		Epoch: overview.Epoch, ConfigVersion: overview.ConfigVersion, StoreState: fulmaradmin.StoreUp, CanGrant: overview.HasLease,
		Planner: overview.Planner, HeldTargets: overview.HeldTargets,
	}
	if overview.StoreErr != nil {
		status.StoreState = fulmaradmin.StoreDown
	}
	if reason, ok := s.Accepting(); !ok {
		status.RefusalReason = string(reason)
	}
	rosterIncarnations := make(map[string]uint64)
	roster := s.Table().Roster()
	for _, m := range roster {
		rosterIncarnations[m.ID] = m.Incarnation
	}
	live := 0
	for _, m := range overview.Members {
		incarnation, ok := rosterIncarnations[m.ID]
		status.Members = append(status.Members, fulmaradmin.Member{
			ID: m.ID, Incarnation: m.Incarnation, DataCentre: m.DataCentre, State: string(m.State),
			InRoster: ok && incarnation == m.Incarnation, Epoch: m.Epoch, ConfigVersion: m.ConfigVersion,
		})
		if ok && m.State != fulmarmember.Down {
			live++
		}
	}
	switch {
	case overview.StoreErr != nil:
		status.StallReason = "the key-value service does not answer"
	case overview.Planner == "":
		status.StallReason = "no planner is elected"
	case 2*live <= len(roster):
		status.StallReason = "half of the roster is lost; confirm the lost members"
		status.AwaitingConfirmation = overview.DownMembers
	}
	return status
}

// PutConfig stores a configuration and converts the error of a version conflict.
func (s adminSource) PutConfig(ctx context.Context, v fulmarconfig.Versioned, base uint64) error {
	err := s.Controller.PutConfig(ctx, v, base)
	var conflict *fulmarcontrol.ConflictError
	if errors.As(err, &conflict) {
		return &fulmaradmin.ConflictError{Current: conflict.Current}
	}
	return err
}
