package upgrade

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// maxSlowSends is the share of streams that may wait for a slot as long as a request to an owner that does not reply. While half
// of the daemons are replaced, the other build owns about half of the slots.
const maxSlowSends = 0.25

// slotRequestTimeout is the time after which a daemon no longer waits for the reply of an owner.
const slotRequestTimeout = 40 * time.Millisecond

// decodeErrors matches the log lines about messages and documents that a daemon can't read.
var decodeErrors = regexp.MustCompile(`.*(?:not decoded|cannot decode|malformed|unreadable|panic:|fatal error).*`)

// checkMixed fails unless each daemon of either build has read messages of the other one.
func (d *deployment) checkMixed() {
	listReaders, owners := 0, map[string]bool{}
	for _, daemon := range d.daemons {
		if received := daemon.metric("azurepond_link_frames_received"); received == 0 {
			d.results.fail("%s (%s) received no message", daemon.name(), daemon.build.name)
		}
		for _, counter := range []string{"azurepond_link_refused_malformed", "azurepond_link_refused_oversized"} {
			if refused := daemon.metric(counter); refused > 0 {
				d.results.fail("%s (%s): %s is %d", daemon.name(), daemon.build.name, counter, refused)
			}
		}
		if daemon.readsList() {
			listReaders++
		}
		for _, owner := range daemon.shardOwners() {
			for _, other := range d.daemons {
				if other.name() == owner {
					owners[other.build.name] = true
				}
			}
		}
	}
	d.t.Logf("half replaced: %d daemons read the list from the store, builds that own slots: %v, facts read from the other build: %d",
		listReaders, owners, d.factsReadAcross())
	if listReaders == len(d.daemons) {
		d.results.fail("all daemons read the list from the store, so that none reads it from another one")
	}
	if len(owners) != 2 {
		d.results.fail("the slots are owned by daemons of one build: %v", owners)
	}
}

// lastLog returns the log of the current process.
func (d *daemon) lastLog() string {
	text, err := os.ReadFile(d.logs[len(d.logs)-1])
	if err != nil {
		d.t.Fatal(err)
	}
	return string(text)
}

var watchLine = regexp.MustCompile(`watch of upstreams changed" on=(true|false)`)

// readsList reports whether the process reads the list of upstreams from the store.
func (d *daemon) readsList() bool {
	lines := watchLine.FindAllStringSubmatch(d.lastLog(), -1)
	return len(lines) > 0 && lines[len(lines)-1][1] == "true"
}

var ownersLine = regexp.MustCompile(`shard owners" count=\d+ owners=\[([^\]]*)\]`)

// shardOwners returns the daemons that own slots, as the process knows them.
func (d *daemon) shardOwners() []string {
	lines := ownersLine.FindAllStringSubmatch(d.lastLog(), -1)
	if len(lines) == 0 {
		return nil
	}
	return strings.FieldsFunc(lines[len(lines)-1][1], func(r rune) bool { return strings.ContainsRune(`", `, r) })
}

var leavingLine = regexp.MustCompile(`"upstream: leaving" upstream="[^"]*" source="(d\d+)"`)

// factsReadAcross returns how many facts about leaving engines the current processes have read from daemons of the other build.
func (d *deployment) factsReadAcross() int {
	count := 0
	for _, reader := range d.daemons {
		for _, match := range leavingLine.FindAllStringSubmatch(reader.lastLog(), -1) {
			for _, source := range d.daemons {
				if source.name() == match[1] && source.build != reader.build {
					count++
				}
			}
		}
	}
	return count
}

var sentLine = regexp.MustCompile(`"dispatch: sent".* route="draft".* after="([^"]*)"`)

// checkLogs fails if a daemon could not read something, or if many streams waited in vain for the reply of an owner of slots.
func (d *deployment) checkLogs() {
	for _, daemon := range d.daemons {
		text := d.logText(daemon)
		if lines := decodeErrors.FindAllString(text, -1); len(lines) > 0 {
			d.results.fail("log of %s has %d lines such as: %s", daemon.name(), len(lines), lines[0])
		}
		sends, slow := 0, 0
		for _, match := range sentLine.FindAllStringSubmatch(text, -1) {
			after, err := time.ParseDuration(match[1])
			if err != nil {
				d.t.Fatal(err)
			}
			sends++
			if after >= slotRequestTimeout {
				slow++
			}
		}
		d.t.Logf("%s sent %d streams, %d of them after %s or more", daemon.name(), sends, slow, slotRequestTimeout)
		if sends == 0 || float64(slow) > maxSlowSends*float64(sends) {
			d.results.fail("%s sent %d of %d streams after %s or more", daemon.name(), slow, sends, slotRequestTimeout)
		}
		if *logDir != "" {
			if err := os.WriteFile(filepath.Join(*logDir, daemon.name()+".log"), []byte(text), 0o600); err != nil {
				d.t.Fatal(err)
			}
		}
	}
}
