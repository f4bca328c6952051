package admin

import (
	"encoding/json"
	"net/http"

	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/operator"
	"k8s.io/klog/v2"
)

const (
	typeJSON = "application/json"
	typeYAML = "application/yaml"
	typeText = "text/plain; version=0.0.4; charset=utf-8"
)

func (h *Handler) questionnaire(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, typeYAML, operator.Questionnaire())
}

// generate returns the configuration generated from a filled-in questionnaire.
func (h *Handler) generate(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	answers, err := operator.ParseAnswers(requestFileName, data)
	if err != nil {
		writeOutcome(w, refusedOutcome(err))
		return
	}
	config, explanations := operator.Generate(answers)
	writeResponse(w, http.StatusOK, typeYAML, config.AnnotatedYAML(explanations))
}

// check validates a configuration.
func (h *Handler) check(w http.ResponseWriter, r *http.Request) {
	if config, ok := readConfig(w, r); ok {
		writeOutcome(w, operator.NewAccepted(config.Revision()))
	}
}

// diff returns the differences between a configuration and the one in force for the token's team.
func (h *Handler) diff(w http.ResponseWriter, r *http.Request) {
	config, ok := readConfig(w, r)
	if !ok {
		return
	}
	current, _ := h.daemon.Fleet().Config(requestToken(r).Team())
	lines := []string{}
	for _, difference := range operator.Diff(current, config) {
		lines = append(lines, difference.String())
	}
	writeResponse(w, http.StatusOK, typeJSON, mustJSON(lines))
}

// configuration returns the configuration in force for the token's team. The fleet team can ask for any team's.
func (h *Handler) configuration(w http.ResponseWriter, r *http.Request) {
	team := requestToken(r).Team()
	if requested := r.URL.Query().Get("team"); requested != "" && team == operator.FleetTeam {
		team = requested
	}
	config, _ := h.daemon.Fleet().Config(team)
	writeResponse(w, http.StatusOK, typeJSON, config.JSON())
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, http.StatusOK, typeJSON, h.daemon.Status().filter(h.nameFilter(requestToken(r))).JSON())
}

// dump returns the state of the daemon. It contains data of all teams, so only the fleet team may read it.
func (h *Handler) dump(w http.ResponseWriter, r *http.Request) {
	if requestToken(r).Team() != operator.FleetTeam {
		reject(w, http.StatusForbidden, "a dump shows all teams", "use a token of team "+operator.FleetTeam)
		return
	}
	value, err := h.daemon.Dump(r.URL.Query().Get("part"))
	if err != nil {
		reject(w, http.StatusNotFound, err.Error(), "leave out the part to see all")
		return
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		reject(w, http.StatusInternalServerError, err.Error(), "")
		return
	}
	writeResponse(w, http.StatusOK, typeJSON, append(data, '\n'))
}

func (h *Handler) metricsJSON(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", typeJSON)
	if err := metrics.WriteJSON(w, h.registry, h.metricFilter(r)); err != nil {
		klog.V(1).InfoS("admin: Response not written.", "err", err.Error())
	}
}

func (h *Handler) metricsText(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", typeText)
	if err := metrics.WriteText(w, h.registry, h.metricFilter(r)); err != nil {
		klog.V(1).InfoS("admin: Response not written.", "err", err.Error())
	}
}

// metricFilter returns a filter that admits the metrics without labels, and those whose labels name nothing of another
// team.
func (h *Handler) metricFilter(r *http.Request) func(name string) bool {
	isVisible := h.nameFilter(requestToken(r))
	return func(name string) bool {
		for _, label := range metrics.ParseLabels(name) {
			switch label.Name() {
			case "organisation", "model", "service", "target":
				if !isVisible(label.Value()) {
					return false
				}
			}
		}
		return true
	}
}
