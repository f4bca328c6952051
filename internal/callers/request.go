package callers

import (
	"net/http"
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
)

// request is what all calls have in common: who calls, the whole body, and when the answer becomes useless.
type request struct {
	organisation operator.Organisation
	body         []byte
	until        time.Time
}

// take reads a request; it answers the request itself if that is not fit to become a call.
func (s *Server) take(w http.ResponseWriter, r *http.Request) (request, bool) {
	organisation, isKnown := s.organisation(w, r)
	if !isKnown {
		return request{}, false
	}
	config, _ := s.daemon.Fleet().Owner(organisation.Name())
	body, err := readBody(w, r, int64(config.Limits().MaxBodyBytes()))
	if err != nil {
		bodyProblem(err).write(w)
		return request{}, false
	}
	until, err := deadline(r, s.clock(), config.Deadlines().Total())
	if err != nil {
		bodyProblem(err).write(w)
		return request{}, false
	}
	return request{organisation, body, until}, true
}
