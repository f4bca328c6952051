package impure

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/azurepond/azurepond/internal/daemon"
)

func impure() (time.Time, int, string) {
	go daemon.Run()
	name, _ := os.Hostname()
	return time.Now(), rand.IntN(3), name
}
