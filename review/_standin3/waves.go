package main

import (
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["two-waves"] = twoWaves
	cases["wave-edit"] = waveEdit
}

// twoWaves: two waves name the same machines. The cloud API is down when the holder orders the first upkeep, and
// the holder is killed.
func twoWaves(w *world, trouble bool) {
	w.pools = []string{"p"}
	w.queues = []queue{{name: "q", host: "q.example", prefix: "/q/", pool: "p", maxAttempts: 3, targetMs: 600}}
	w.fleet(3, map[string]int{"p": 6}, room{CPU: 8000, Mem: 16384})
	down := func(_, path string) (action, time.Duration) {
		if strings.HasPrefix(path, "POST") {
			return refuse, 0
		}
		return pass, 0
	}
	if trouble {
		w.cloud.setFault(down)
	}
	w.writeWave(waveRow{Wave: 1, Machines: []string{"m-p-0", "m-p-1"}, WithinS: 40, MaxCount: 2})
	time.Sleep(time.Second)
	w.writeWave(waveRow{Wave: 2, Machines: []string{"m-p-0", "m-p-1"}, WithinS: 24, MaxCount: 2})
	time.Sleep(2 * time.Second)
	if trouble {
		for _, e := range w.entries {
			if e.name == w.cloud.lastGiver() {
				e.signal(syscall.SIGKILL)
				<-e.exited
				time.AfterFunc(time.Second, e.start)
			}
		}
		w.cloud.setFault(nil)
	}
	w.cloud.awaitWaves(time.Now().Add(60*time.Second), 1, 2)
	time.Sleep(100 * time.Millisecond)
}

// waveEdit: the operator writes a wave's row again, with one machine more, while the wave is open.
func waveEdit(w *world, trouble bool) {
	w.pools = []string{"p"}
	w.queues = []queue{{name: "q", host: "q.example", prefix: "/q/", pool: "p", maxAttempts: 3, targetMs: 600}}
	w.fleet(3, map[string]int{"p": 8}, room{CPU: 8000, Mem: 16384})
	v := waveRow{Wave: 1, Machines: []string{"m-p-0", "m-p-1", "m-p-2", "m-p-3"}, WithinS: 40, MaxCount: 1}
	w.writeWave(v)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		v.Machines = append(v.Machines, "m-p-4", "m-p-5")
		w.writeWave(v)
	}
	w.cloud.awaitWaves(time.Now().Add(60*time.Second), 1)
	time.Sleep(100 * time.Millisecond)
}
