package resident

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/azurepond/azurepond/internal/link"
	"github.com/azurepond/azurepond/pkg/peer"
)

// fakePeer is a daemon of which only the links and pkg/peer run.
type fakePeer struct {
	mutex sync.Mutex
	state peer.State
	hub   *link.Hub
}

func (p *fakePeer) reduce(e peer.Event) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, effect := range p.state.Reduce(time.Now(), e) {
		if send, isSend := effect.(peer.Send); isSend {
			p.hub.Send(send.Name(), send.Address(), send.Message())
		}
	}
}

// live runs a peer until it has been a member together with the daemon for some heartbeats, and reports whether it was.
func (r *namesRun) live(name string) bool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false
	}
	p, address := &fakePeer{}, listener.Addr().String()
	if p.hub, err = link.New(name, address, link.TLSFiles{}, metrics.NewRegistry(), p.reduce); err != nil {
		r.t.Error(err)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = p.hub.Run(ctx, listener) })
	p.reduce(peer.NewConfigured(peer.NewSettings(name, address, address, "z1", uint64(time.Now().UnixNano())).WithSeeds(r.daemon.control)))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.reduce(peer.NewTicked())
		p.mutex.Lock()
		isMember := p.state.IsKnown("a")
		p.mutex.Unlock()
		if isMember {
			time.Sleep(20 * time.Millisecond)
			p.reduce(peer.NewTicked())
			return true
		}
	}
	return false
}

// playPeers starts and ends peers, and returns how many of them met the daemon as answers of status 200.
func (r *namesRun) playPeers(count int) map[int]int {
	begin := time.Now().UnixNano()
	return r.callAll(count, func(n int) int {
		if r.live(fmt.Sprintf("peer-%d-%d", begin, n)) {
			return http.StatusOK
		}
		return 0
	})
}
