package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is limits.memory-mb of the settings.
const memoryMB = 284

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, isFound := strings.CutPrefix(line, "VmRSS:"); isFound {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// memoryWatch is the platform's limit on the memory of processes.
type memoryWatch struct {
	mutex  sync.Mutex
	killed []string
	done   chan struct{}
}

// watchMemory ends a process that exceeds its memory, as the platform does.
func (d *deployment) watchMemory() *memoryWatch {
	w := &memoryWatch{done: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-w.done:
				return
			case <-ticker.C:
			}
			for _, one := range d.daemons {
				pid := one.command.Process.Pid
				if mb := residentMB(pid); mb > memoryMB && !one.hasExited() && w.add(one.name) {
					d.record.log("platform: daemon=%s has %d MB of %d MB and is killed", one.name, mb, memoryMB)
					_ = one.command.Process.Signal(syscall.SIGKILL)
				}
			}
		}
	}()
	return w
}

func (w *memoryWatch) add(name string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, other := range w.killed {
		if other == name {
			return false
		}
	}
	w.killed = append(w.killed, name)
	return true
}

// count returns how many processes were ended.
func (w *memoryWatch) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.killed)
}

// memoryOf returns the resident memory of all daemons, for the record.
func (d *deployment) memoryOf() string {
	var all []string
	for _, one := range d.daemons {
		all = append(all, fmt.Sprintf("%s=%d MB", one.name, residentMB(one.command.Process.Pid)))
	}
	return strings.Join(all, ", ")
}
