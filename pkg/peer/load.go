package peer

import "time"

// loadLevels are the numbers of requests that a load code of four bits encodes. A code means at least its level.
var loadLevels = [16]int{0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192}

// encodeLoad packs the numbers of running and queued requests into one byte.
func encodeLoad(running, queued int) uint8 { return loadLevel(running)<<4 | loadLevel(queued) }

func loadLevel(n int) uint8 {
	code := 0
	for code+1 < len(loadLevels) && loadLevels[code+1] <= n {
		code++
	}
	return uint8(code)
}

func decodeLoad(code uint8) (running, queued int) {
	return loadLevels[code>>4], loadLevels[code&15]
}

// stableLoadCode returns the code to report: the previous one as long as both numbers stay within one level of it and
// neither changes from or to zero.
func stableLoadCode(previous, current uint8) uint8 {
	if withinOneLevel(previous>>4, current>>4) && withinOneLevel(previous&15, current&15) {
		return previous
	}
	return current
}

func withinOneLevel(previous, current uint8) bool {
	if previous == 0 || current == 0 {
		return previous == current
	}
	return max(previous, current)-min(previous, current) <= 1
}

// attachLoadCodes puts the loads into the next heartbeat of this daemon while they count as changed.
func (s *State) attachLoadCodes() {
	s.self.loadCodes = nil
	if s.self.loadHeartbeatsLeft == 0 {
		return
	}
	s.self.loadHeartbeatsLeft--
	for _, o := range s.self.observations {
		if o.primary && len(s.self.loadCodes) < maxLoadCodes {
			s.self.loadCodes = append(s.self.loadCodes, o.loadCode)
		}
	}
}

// applyLoadCodes applies the load codes of a member's last heartbeat if that version of its report is stored.
func (s *State) applyLoadCodes(now time.Time, m *member) {
	if m.reportVersion != m.storedReportVersion {
		return
	}
	codes := m.loadCodes
	for _, o := range m.observations {
		if !o.primary || len(codes) == 0 {
			continue
		}
		if o.loadCode != codes[0] {
			o.loadCode = codes[0]
			s.evaluate(now, o.target)
		}
		codes = codes[1:]
	}
}
