package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// sizedServer is a server of the tests of weighted rendezvous hashing.
type sizedServer struct {
	hash  uint64
	slots int
}

// sizes of servers; a fleet has the same number of each, apart from a remainder.
var sizes = []int{2, 4, 5, 8}

func newSizedServers(first, count int) (servers []sizedServer) {
	for i := first; i < first+count; i++ {
		servers = append(servers, sizedServer{Hash("server-" + strconv.Itoa(i)), sizes[i%len(sizes)]})
	}
	return servers
}

// assign returns the hash of each object's home.
func assign(servers []sizedServer, objects int) []uint64 {
	homesOf := make([]uint64, objects)
	for object := range homesOf {
		objectHash, home := Hash(strconv.Itoa(object)), noFirst
		for i, s := range servers {
			home = home.withServer(i, RendezvousWeight(objectHash, s.hash), s.slots)
		}
		homesOf[object] = servers[home.index].hash
	}
	return homesOf
}

// minMoved returns the smallest fraction of the objects that a change of servers has to move for shares that follow the sizes.
func minMoved(before, after []sizedServer) (fraction float64) {
	shares := map[uint64]float64{}
	for sign, servers := range map[float64][]sizedServer{-1: before, 1: after} {
		for _, s := range servers {
			shares[s.hash] += sign * float64(s.slots) / float64(totalSlots(servers))
		}
	}
	for _, change := range shares {
		fraction += max(change, 0)
	}
	return fraction
}

func totalSlots(servers []sizedServer) (total int) {
	for _, s := range servers {
		total += s.slots
	}
	return total
}

// resized returns the servers with the first count of them larger by a slot.
func resized(servers []sizedServer, count int) []sizedServer {
	changed := slices.Clone(servers)
	for i := range changed[:count] {
		changed[i].slots++
	}
	return changed
}

// The objects of a service must be shared by the servers' sizes, or large servers have free slots while objects wait at small
// ones.
func TestSharesFollowSizes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		servers, objects int
		// perServer is set if each server has enough objects for its own share to be compared.
		perServer bool
	}{{16, 100_000, true}, {180, 300_000, true}, {4500, 10_000, false}} {
		servers := newSizedServers(0, c.servers)
		counts, bySize, slotsBySize := map[uint64]int{}, map[int]int{}, map[int]int{}
		for _, home := range assign(servers, c.objects) {
			counts[home]++
		}
		perSlot := float64(c.objects) / float64(totalSlots(servers))
		for _, s := range servers {
			bySize[s.slots] += counts[s.hash]
			slotsBySize[s.slots] += s.slots
			if got := float64(counts[s.hash]) / (perSlot * float64(s.slots)); c.perServer && math.Abs(got-1) > 0.1 {
				t.Errorf("%d servers: one with %d slots has %.3f of its share", c.servers, s.slots, got)
			}
		}
		for size, slots := range slotsBySize {
			if got := float64(bySize[size]) / (perSlot * float64(slots)); math.Abs(got-1) > 0.1 {
				t.Errorf("%d servers: those with %d slots have %.3f of their share", c.servers, size, got)
			}
		}
	}
}

// isNeedless reports whether an object's move from one home to another is needed neither because the old home is gone or smaller
// nor because the new one is new or larger.
func isNeedless(from, to uint64, before, after map[uint64]int) bool {
	return from != to && after[from] >= before[from] && after[to] <= before[to]
}

func slotsOf(servers []sizedServer) map[uint64]int {
	slots := map[uint64]int{}
	for _, s := range servers {
		slots[s.hash] = s.slots
	}
	return slots
}

// A change of the servers must move only the objects that have to move, since an object that moves runs cold.
func TestChangesMoveFewObjects(t *testing.T) {
	t.Parallel()
	// With fewer objects to move, the bound would be within three standard deviations of their number.
	const minCompared = 900
	for _, c := range []struct{ servers, objects int }{{16, 100_000}, {180, 135_000}, {4500, 10_000}} {
		all := newSizedServers(0, c.servers)
		homesOf := assign(all, c.objects)
		for _, percent := range []int{1, 10} {
			t.Run(strconv.Itoa(c.servers)+" servers, "+strconv.Itoa(percent)+"%", func(t *testing.T) {
				t.Parallel()
				n := (c.servers*percent + 99) / 100
				check := func(change string, before []uint64, steps ...[]sizedServer) []uint64 {
					after, least, moved := assign(steps[len(steps)-1], c.objects), 0.0, 0
					for i := range steps[1:] {
						least += minMoved(steps[i], steps[i+1]) * float64(c.objects)
					}
					old, changed := slotsOf(steps[0]), slotsOf(steps[len(steps)-1])
					for object := range before {
						if before[object] != after[object] {
							moved++
						}
						if isNeedless(before[object], after[object], old, changed) {
							t.Fatalf("%d servers, %d %s: object %d moved without need", c.servers, n, change, object)
						}
					}
					if least >= minCompared && float64(moved) > 1.1*least {
						t.Errorf("%d servers, %d %s: %d objects moved, at least %.0f had to", c.servers, n, change, moved, least)
					}
					return after
				}
				added := newSizedServers(c.servers, n)
				check("added", homesOf, all, slices.Concat(all, added))
				without := check("removed", homesOf, all, all[n:])
				if c.servers == 4500 {
					// The other changes consist of these two, and would take too long under the race detector.
					return
				}
				check("enlarged", homesOf, all, resized(all, n))
				// A replacement is a removal and an addition: an assignment without a memory can't tell it from the two.
				check("replaced", homesOf, all, all[n:], slices.Concat(all[n:], added))
				if !slices.Equal(check("back again", without, all[n:], slices.Concat(all[n:], all[:n])), homesOf) {
					t.Errorf("%d servers, %d flapping: some objects aren't back at their home", c.servers, n)
				}
			})
		}
	}
}

// An object must move only if its home is gone or smaller, or its new home is new or larger.
func TestOnlyAffectedObjectsMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lists [2][]sizedServer
		for i := range lists {
			for server, slots := range rapid.SliceOfN(rapid.IntRange(0, 6), 30, 30).Draw(t, "slots") {
				if slots > 0 || server == 0 {
					lists[i] = append(lists[i], sizedServer{Hash(strconv.Itoa(server)), max(slots, 1)})
				}
			}
		}
		old, changed := assign(lists[0], 100), assign(lists[1], 100)
		for object := range old {
			if isNeedless(old[object], changed[object], slotsOf(lists[0]), slotsOf(lists[1])) {
				t.Fatalf("object %d moved without need", object)
			}
		}
	})
}

// Hosts whose lists of servers differ for a moment must agree on every object whose home is in both lists. Otherwise two
// servers run the object cold.
func TestHostsWithDifferentListsAgree(t *testing.T) {
	t.Parallel()
	const objects = 2000
	random := rand.New(rand.NewPCG(3, 4))
	for _, count := range []int{16, 180, 4500} {
		all := newSizedServers(0, count)
		inBoth := map[uint64]bool{}
		var lists [2][]sizedServer
		for _, s := range all {
			left, right := random.IntN(10) > 0, random.IntN(10) > 0
			if left {
				lists[0] = append(lists[0], s)
			}
			if right {
				lists[1] = append(lists[1], s)
			}
			inBoth[s.hash] = left && right
		}
		random.Shuffle(len(lists[1]), func(i, k int) { lists[1][i], lists[1][k] = lists[1][k], lists[1][i] })
		shared, one, other := assign(all, objects), assign(lists[0], objects), assign(lists[1], objects)
		agreed := 0
		for object, home := range shared {
			if !inBoth[home] {
				continue
			}
			agreed++
			if one[object] != home || other[object] != home {
				t.Errorf("%d servers: object %d has several homes", count, object)
			}
		}
		if agreed < objects/2 {
			t.Errorf("%d servers: only %d objects compared", count, agreed)
		}
	}
}

// Servers with equal slots must rank exactly by their RendezvousWeight, also if the weights are too close for a float64, so that
// deployments with equal slots keep their homes.
func TestEqualSlotsRankByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		weight := rapid.OneOf(
			rapid.Uint64(), rapid.Uint64Range(0, 5), rapid.Uint64Range(math.MaxUint64-5, math.MaxUint64),
			rapid.Uint64Range(1<<63, 1<<63+5),
		)
		candidates := make([]Candidate, rapid.IntRange(1, 20).Draw(t, "servers"))
		highest := 0
		for i := range candidates {
			candidates[i] = Candidate{RendezvousWeight: weight.Draw(t, "weight"), Slots: slots, Local: true}
			if candidates[i].RendezvousWeight > candidates[highest].RendezvousWeight {
				highest = i
			}
		}
		if got := findHomes(candidates); got.local != highest || got.remote != -1 {
			t.Fatalf("homes %+v, want %d", got, highest)
		}
	})
}
