package callers

import (
	"net/http"
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
)

// request holds what all kinds of call have in common. The answer is useless after the deadline.
type request struct {
	organisation operator.Organisation
	body         []byte
	deadline     time.Time
}

// readRequest reads and checks a request. If it returns false, it has written the error response.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (request, bool) {
	organisation, ok := s.authenticate(w, r)
	if !ok {
		return request{}, false
	}
	config, _ := s.daemon.Fleet().Owner(organisation.Name())
	body, err := readBody(w, r, int64(config.Limits().MaxBodyBytes()))
	if err != nil {
		requestProblem(err).write(w)
		return request{}, false
	}
	deadline, err := requestDeadline(r, s.clock(), config.Deadlines().Total())
	if err != nil {
		requestProblem(err).write(w)
		return request{}, false
	}
	return request{organisation, body, deadline}, true
}
