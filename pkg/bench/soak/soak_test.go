package soak_test

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/gannetwell/gannetwell/pkg/bench/soak"
)

// soakSeed is the seed of the short soak.
var soakSeed = flag.Uint64("soak-seed", 1, "seed of the short soak")

// programs builds the programs of a soak.
func programs(t *testing.T) (daemon, bench string) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../../cmd/gannetwelld", "../../../cmd/gannetbench").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return filepath.Join(dir, "gannetwelld"), filepath.Join(dir, "gannetbench")
}

// run plays one seed with a planted fault, if any, and with long outages of the table service if that fault needs
// them to show.
func run(t *testing.T, daemon, bench string, seed uint64, length time.Duration, planted soak.Planted) soak.Result {
	dir := t.TempDir()
	log, err := os.Create(filepath.Join(dir, "soak.log"))
	qt.Assert(t, err, qt.IsNil)
	defer log.Close()
	r, err := soak.Run(context.Background(), soak.Options{
		Seed: seed, Entries: 4, Workers: 8, Callers: 5, Length: length, Daemon: daemon, Bench: bench, Dir: dir, Planted: planted, Outages: planted == soak.PlantedCutLists, Log: log,
	})
	qt.Assert(t, err, qt.IsNil)
	if text, err := os.ReadFile(log.Name()); err == nil && len(r.Broken) > 0 {
		t.Logf("%s", text)
	}
	return r
}

// TestShortSoak disturbs a few processes for some seconds: no promise breaks, and work is done.
func TestShortSoak(t *testing.T) {
	daemon, bench := programs(t)
	r := run(t, daemon, bench, *soakSeed, 12*time.Second, soak.PlantedNone)
	t.Logf("%d disturbances, %d jobs, %d starts, %d checks, %s", r.Disturbances, r.Jobs, r.Starts, r.Checks, r.Took)
	qt.Check(t, r.Broken, qt.HasLen, 0)
	qt.Check(t, r.Starts > 0 && r.Disturbances > 0, qt.IsTrue)
}

// TestSoakWithMoves does so while the queue moves between two pools.
func TestSoakWithMoves(t *testing.T) {
	daemon, bench := programs(t)
	dir := t.TempDir()
	r, err := soak.Run(context.Background(), soak.Options{
		Seed: *soakSeed, Entries: 4, Workers: 8, Callers: 5, Length: 12 * time.Second, Daemon: daemon, Bench: bench, Dir: dir, Moves: true, Log: t.Output(),
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Broken, qt.HasLen, 0)
	qt.Check(t, r.Starts > 0 && r.Disturbances > 0, qt.IsTrue)
}

// TestSoakFindsPlantedFaults checks that a soak finds transactions that are answered and not carried out,
// workers that carry out orders of former owners, workers that forget ends before they are
// acknowledged, and workers that list fewer ends than the owners take for a whole list.
func TestSoakFindsPlantedFaults(t *testing.T) {
	daemon, bench := programs(t)
	for _, tc := range []struct {
		planted soak.Planted
		first   uint64 // seed
	}{
		{soak.PlantedLostWrites, 7},
		{soak.PlantedNoFencing, 21},
		{soak.PlantedEarlyForget, 21},
		{soak.PlantedCutLists, 1},
	} {
		t.Run(string(tc.planted), func(t *testing.T) {
			for seed := tc.first; seed < tc.first+plantedSeeds; seed++ {
				r := run(t, daemon, bench, seed, 12*time.Second, tc.planted)
				if len(r.Broken) > 0 {
					return
				}
				t.Logf("seed %d: nothing broken, %d disturbances, %d jobs, %d starts, %d checks, %s", seed, r.Disturbances, r.Jobs, r.Starts, r.Checks, r.Took)
			}
			t.Errorf("nothing found on %d seeds", plantedSeeds)
		})
	}
}

// plantedSeeds is the number of seeds on which a planted fault has to be found.
const plantedSeeds = 3
