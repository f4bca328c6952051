package reducer

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/service"
)

// slotsPerServiceUpstream is how many calls one upstream of a plain service runs at once.
const slotsPerServiceUpstream = 32

// peerSettings returns the settings of pkg/peer.
func peerSettings(settings Settings) peer.Settings {
	result := peer.
		NewSettings(settings.name, settings.peerAddress, settings.callerAddress, settings.dataCentre, settings.seed).
		WithSeeds(settings.seeds...).
		WithDocuments(peer.NewDocumentSource(operator.DocumentName, operator.ObjectKey(), operator.RevisionField))
	if settings.heartbeatInterval > 0 {
		result = result.WithGossipInterval(settings.heartbeatInterval)
	}
	if settings.probeInterval > 0 {
		result = result.WithProbeInterval(settings.probeInterval)
	}
	return result
}

// instanceSettings returns the settings of pkg/instance for a configuration.
func instanceSettings(settings Settings, fleet operator.Fleet, role role) instance.Settings {
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
	result := instance.NewSettings(settings.StartID(), settings.seed, models)
	if settings.maxTotalRate > 0 && settings.maxInstanceRate > 0 {
		result = result.WithWeightStore(settings.maxTotalRate, settings.maxInstanceRate)
	}
	return result.WithMaxProbeAge(max(result.MaxProbeAge(), role.evidenceTTL)).WithObserver(role.observer)
}

// callerSettings returns the settings of pkg/caller for a configuration.
func callerSettings(settings Settings, fleet operator.Fleet) caller.Settings {
	var targets []caller.Target
	for _, model := range fleet.Models() {
		targets = append(targets, caller.NewTarget(model.Name(), caller.Model, model.Replicas()*engine.DefaultSlots))
	}
	for _, s := range fleet.Services() {
		slots := len(s.Upstreams()) * slotsPerServiceUpstream
		targets = append(targets, caller.NewTarget(s.Name(), caller.Service, slots))
	}
	var organisations []caller.Organisation
	for _, o := range fleet.Organisations() {
		organisations = append(organisations, caller.NewOrganisation(o.Name(), o.Share()).WithTargets(o.Targets()...))
	}
	maxQueue := 0
	for _, config := range fleet.Configs() {
		maxQueue = max(maxQueue, config.Limits().MaxQueuedCalls())
	}
	return caller.NewSettings(settings.name, settings.callerAddress, settings.dataCentre).
		WithTargets(targets...).
		WithOrganisations(organisations...).
		WithMaxQueue(maxQueue)
}

// engineSettings returns the settings of pkg/engine.
func engineSettings(settings Settings) engine.Settings {
	return engine.NewSettings(settings.name, settings.dataCentre)
}

// serviceSettings returns the settings of pkg/service for a configuration.
func serviceSettings(settings Settings, fleet operator.Fleet) service.Settings {
	var services []service.Service
	for _, s := range fleet.Services() {
		services = append(services, service.NewService(s.Name(), s.Outage() == operator.OutageWait))
	}
	return service.NewSettings(settings.StartID(), settings.dataCentre, settings.seed, services...)
}

func modelNames(fleet operator.Fleet) []string {
	var names []string
	for _, model := range fleet.Models() {
		names = append(names, model.Name())
	}
	return names
}
