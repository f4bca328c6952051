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
	send(w, http.StatusOK, typeYAML, operator.Questionnaire())
}

// generate answers a filled-in questionnaire with the configuration that follows from it.
func (h *Handler) generate(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	answers, err := operator.ParseAnswers(requestFile, data)
	if err != nil {
		reply(w, refusal(err))
		return
	}
	config, explanations := operator.Generate(answers)
	send(w, http.StatusOK, typeYAML, config.AnnotatedYAML(explanations))
}

// check tells whether a configuration has mistakes.
func (h *Handler) check(w http.ResponseWriter, r *http.Request) {
	if config, ok := readConfig(w, r); ok {
		reply(w, operator.NewAccepted(config.Revision()))
	}
}

// diff tells how a configuration differs from the one in force for the caller's team.
func (h *Handler) diff(w http.ResponseWriter, r *http.Request) {
	config, ok := readConfig(w, r)
	if !ok {
		return
	}
	current, _ := h.daemon.Fleet().Config(caller(r).Team())
	lines := []string{}
	for _, difference := range operator.Diff(current, config) {
		lines = append(lines, difference.String())
	}
	send(w, http.StatusOK, typeJSON, mustJSON(lines))
}

// configuration tells the configuration in force for the caller's team.
func (h *Handler) configuration(w http.ResponseWriter, r *http.Request) {
	team := caller(r).Team()
	if asked := r.URL.Query().Get("team"); asked != "" && team == operator.FleetTeam {
		team = asked
	}
	config, _ := h.daemon.Fleet().Config(team)
	send(w, http.StatusOK, typeJSON, config.JSON())
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	send(w, http.StatusOK, typeJSON, h.daemon.Status().only(h.sees(caller(r))).JSON())
}

// dump tells the daemon's state, in which all teams meet.
func (h *Handler) dump(w http.ResponseWriter, r *http.Request) {
	if caller(r).Team() != operator.FleetTeam {
		decline(w, http.StatusForbidden, "a dump shows all teams", "use a token of team "+operator.FleetTeam)
		return
	}
	value, err := h.daemon.Dump(r.URL.Query().Get("part"))
	if err != nil {
		decline(w, http.StatusNotFound, err.Error(), "leave out the part to see all")
		return
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		decline(w, http.StatusInternalServerError, err.Error(), "")
		return
	}
	send(w, http.StatusOK, typeJSON, append(data, '\n'))
}

func (h *Handler) metricsJSON(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", typeJSON)
	if err := metrics.WriteJSON(w, h.registry, h.keeps(r)); err != nil {
		klog.V(1).InfoS("admin: An answer was cut off.", "err", err.Error())
	}
}

func (h *Handler) metricsText(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", typeText)
	if err := metrics.WriteText(w, h.registry, h.keeps(r)); err != nil {
		klog.V(1).InfoS("admin: An answer was cut off.", "err", err.Error())
	}
}

// keeps returns which metrics the caller may see: those without labels, and those that name nothing of another team.
func (h *Handler) keeps(r *http.Request) func(name string) bool {
	sees := h.sees(caller(r))
	return func(name string) bool {
		for _, label := range metrics.ParseLabels(name) {
			switch label.Name() {
			case "organisation", "model", "service", "target":
				if !sees(label.Value()) {
					return false
				}
			}
		}
		return true
	}
}
