package reducer

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/service"
)

// serviceSlots is how many calls one process of a plain service runs at once.
const serviceSlots = 32

// peerSettings returns what pkg/peer needs of the daemon's identity.
func peerSettings(i Settings) peer.Settings {
	settings := peer.NewSettings(i.name, i.peer, i.caller, i.dataCentre, i.seed).
		WithSeeds(i.seeds...).
		WithDocuments(peer.NewDocumentSource(operator.DocumentName, operator.ObjectKey(), operator.RevisionField))
	if i.heartbeat > 0 {
		settings = settings.WithGossipInterval(i.heartbeat)
	}
	if i.probe > 0 {
		settings = settings.WithProbeInterval(i.probe)
	}
	return settings
}

// instanceSettings returns what pkg/instance needs of the configuration.
func instanceSettings(i Settings, fleet operator.Fleet, place standing) instance.Settings {
	var models []instance.Model
	for _, config := range fleet.Configs() {
		weights := config.CostWeights()
		for _, model := range config.Models() {
			models = append(models, instance.NewModel(model.Name(), model.Pool(), model.Span(), model.Replicas()).
				WithAccelerators(model.Accelerators()).
				WithBytes(model.BytesPerInstance()).
				WithFencing(model.Fencing()).
				WithSurplus(model.Replicas()).
				WithCostWeights(float64(weights.Downtime()), float64(weights.Stranding())))
		}
	}
	settings := instance.NewSettings(i.StartID(), i.seed, models)
	if i.rate > 0 && i.pull > 0 {
		settings = settings.WithWeightStore(i.rate, i.pull)
	}
	return settings.WithMaxProbeAge(max(settings.MaxProbeAge(), place.fresh)).WithObserver(place.observer)
}

// callerSettings returns what pkg/caller needs of the configuration.
func callerSettings(i Settings, fleet operator.Fleet) caller.Settings {
	var targets []caller.Target
	for _, model := range fleet.Models() {
		targets = append(targets, caller.NewTarget(model.Name(), caller.Model, model.Replicas()*engine.DefaultSlots))
	}
	for _, service := range fleet.Services() {
		slots := len(service.Upstreams()) * serviceSlots
		targets = append(targets, caller.NewTarget(service.Name(), caller.Service, slots))
	}
	var organisations []caller.Organisation
	for _, o := range fleet.Organisations() {
		organisations = append(organisations, caller.NewOrganisation(o.Name(), o.Share(), o.Targets()...))
	}
	queue := 0
	for _, config := range fleet.Configs() {
		queue = max(queue, config.Limits().MaxQueuedCalls())
	}
	return caller.NewSettings(i.name, i.caller, i.dataCentre).
		WithTargets(targets...).
		WithOrganisations(organisations...).
		WithMaxQueue(queue)
}

// engineSettings returns what pkg/engine needs of the daemon's identity.
func engineSettings(i Settings) engine.Settings { return engine.NewSettings(i.name, i.dataCentre) }

// serviceSettings returns what pkg/service needs of the configuration.
func serviceSettings(i Settings, fleet operator.Fleet) service.Settings {
	var services []service.Service
	for _, s := range fleet.Services() {
		services = append(services, service.NewService(s.Name(), s.Outage() == operator.OutageWait))
	}
	return service.NewSettings(i.StartID(), i.dataCentre, i.seed, services...)
}

// modelNames returns the names of all models.
func modelNames(fleet operator.Fleet) []string {
	var names []string
	for _, model := range fleet.Models() {
		names = append(names, model.Name())
	}
	return names
}
