package fulmardemo

import (
	"context"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarload"
)

// service is a service of a deployment, with the load that each group puts on it.
type service struct {
	fulmarfleet.Service
	rate      float64 // requests a second from each group
	longShare float64 // share of long requests
}

// deployment is a small version of the deployment of one of the two users.
type deployment struct {
	name     string
	centres  []string
	groups   []string
	services []service
}

var deployments = []deployment{
	{
		name:    "hardanger",
		centres: []string{"odda", "norheimsund", "eidfjord"},
		groups:  []string{"cutters", "foremen"},
		services: []service{
			{fulmarfleet.Service{Name: "rota-board", TargetCount: 4, SlotCount: 64, Idempotent: true, Fenced: true}, 100, 0},
			{fulmarfleet.Service{Name: "shift-desk", TargetCount: 3, SlotCount: 32, Fenced: true}, 60, 0},
			{fulmarfleet.Service{Name: "pay-desk", TargetCount: 2, SlotCount: 16, Fenced: true}, 40, 0.02},
		},
	},
	{
		name:    "osierbank",
		centres: []string{"weir", "quay", "mill", "lock"},
		groups:  []string{"growers", "schools"},
		services: []service{
			{fulmarfleet.Service{Name: "bundle-catalogue", TargetCount: 4, SlotCount: 64, Idempotent: true, Fenced: true}, 100, 0},
			{fulmarfleet.Service{Name: "order-desk", TargetCount: 3, SlotCount: 32, Fenced: true}, 60, 0},
			{fulmarfleet.Service{Name: "carter-book", TargetCount: 2, SlotCount: 16, Fenced: true}, 40, 0.02},
		},
	},
}

// fleet runs one deployment.
type fleet struct {
	*fulmarfleet.Fleet
	demo       *Demo
	deployment deployment
	folder     string
	seed       uint64
}

func (d *Demo) newFleet(i int, deployment deployment, folder string, programs fulmarfleet.Programs) *fleet {
	settings := fulmarfleet.Settings{
		Name: deployment.name, Folder: filepath.Join(folder, deployment.name), Programs: programs,
		DataCentres: deployment.centres, Groups: deployment.groups, DaemonCount: d.settings.DaemonsPerDeployment, ServerListLag: catalogLag,
	}
	for _, s := range deployment.services {
		settings.Services = append(settings.Services, s.Service)
	}
	return &fleet{
		Fleet: fulmarfleet.New(settings), demo: d, deployment: deployment,
		folder: settings.Folder, seed: d.settings.Seed + uint64(i),
	}
}

// victim returns the target to kill: the first target of an at-most-once service,
// whose requests the loss of a target affects most.
func (f *fleet) victim() *fulmarfleet.Target {
	for i, s := range f.deployment.services {
		if !s.Idempotent {
			first := 0
			for _, preceding := range f.deployment.services[:i] {
				first += preceding.TargetCount
			}
			return f.Targets[first]
		}
	}
	return f.Targets[0]
}

// run sends load, kills a daemon after one third of the duration, and kills a
// target after two thirds.
func (f *fleet) run(ctx context.Context) (fulmarload.Result, error) {
	log, file, err := fulmarhistory.Open(filepath.Join(f.folder, "callers.jsonl"))
	if err != nil {
		return fulmarload.Result{}, err
	}
	defer file.Close()
	duration := f.demo.settings.Duration
	settings := LoadSettings(f.seed, duration, f.CallerAddresses())
	for _, g := range f.deployment.groups {
		for _, s := range f.deployment.services {
			settings.Groups = append(settings.Groups, fulmarload.Group{
				Name: g, Service: s.Name, AtMostOnce: !s.Idempotent, Rate: s.rate, LongShare: s.longShare,
			})
		}
	}
	killDaemon := time.AfterFunc(duration/3, func() { f.Daemons[0].Kill() })
	defer killDaemon.Stop()
	killTarget := time.AfterFunc(2*duration/3, func() { f.victim().Kill() })
	defer killTarget.Stop()
	result := fulmarload.New(settings, log).Run(ctx)
	return result, errors.Wrap(ctx.Err(), "fulmardemo: load interrupted")
}
