package admission

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the cases reproducible. rapid defines the flag, so Set
	// can't fail.
	_ = flag.Set("rapid.seed", "1")
}

// TestDivide checks for random loads that no more than the capacity is admitted,
// that each rank gets its floor, and that no rank is refused while a less urgent
// one gets more than its floor.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 1e4).Draw(t, "capacity")
		floors := []float64{0.1, 0.2, 0.05}
		var offered Load
		for rank := range floors {
			offered[rank] = rapid.Float64Range(0, 5e4).Draw(t, "offered")
		}
		fractions := DivideCapacity(capacity, offered, floors)
		total, refusedUrgent := 0.0, false
		for rank, floor := range floors {
			granted := offered[rank] * float64(fractions[rank])
			total += granted
			least := min(offered[rank], floor*capacity)
			if granted < least*0.999-1e-6 {
				t.Fatalf("rank %d is granted %v, its floor is %v", rank, granted, least)
			}
			trickle := offered[rank] * minimumFraction
			if refusedUrgent && granted > max(least, trickle)*1.001+1e-6 {
				t.Fatalf("rank %d is granted %v beyond its floor %v while a more urgent one is refused", rank, granted, least)
			}
			refusedUrgent = refusedUrgent || fractions[rank] < 0.999
		}
		slack := (offered[0] + offered[1] + offered[2]) * minimumFraction
		if total > capacity*1.001+slack+1e-6 {
			t.Fatalf("%v admitted of a capacity of %v", total, capacity)
		}
	})
}

// TestAdmittedIsMonotonic checks that a request that is admitted at a lower fraction is also
// admitted at a higher one, so that nodes with different fractions refuse the
// same requests as far as possible.
func TestAdmittedIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64().Draw(t, "hash")
		low := rapid.Float32Range(0, 1).Draw(t, "low")
		high := rapid.Float32Range(low, 1).Draw(t, "high")
		if Admitted(hash, low) && !Admitted(hash, high) {
			t.Fatal("a request is admitted at a fraction and refused at a higher one")
		}
	})
	if Admitted(0, 0) || !Admitted(0, 1) {
		t.Error("fraction 0 admits hash 0, or fraction 1 refuses it")
	}
}

func TestMeterFollowsFlood(t *testing.T) {
	var m Meter
	now := time.Unix(0, 0)
	floors := []float64{0.1, 0.1}
	var f Fractions
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		m.RecordRequest(0, 30)
		m.RecordRequest(1, 500)
		f = m.Tick(now, 1000, Load{}, floors)
	}
	want := float32(targetLoad*1000-300) / 5000
	if f[0] < 0.999 || f[1] < 0.9*want || f[1] > 1.1*want {
		t.Errorf("fractions %v: of a capacity of 1000, 300 urgent requests leave a fraction %v of 5000 others", f[:2], want)
	}
}

// TestMeterDrains checks that a backlog reduces the fraction of its rank and of
// no other.
func TestMeterDrains(t *testing.T) {
	var m Meter
	now := time.Unix(0, 0)
	floors := []float64{0.1, 0.1}
	var idle, loaded Fractions
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		m.RecordRequest(0, 30)
		m.RecordRequest(1, 500)
		idle = m.Tick(now, 1000, Load{}, floors)
	}
	now = now.Add(100 * time.Millisecond)
	m.RecordRequest(0, 30)
	m.RecordRequest(1, 500)
	loaded = m.Tick(now, 1000, Load{0, 400}, floors)
	want := float32(targetLoad*1000-300-(400-60)/drainTime.Seconds()) / 5000
	if loaded[0] < 0.999 || loaded[1] > 1.1*want || loaded[1] < 0.9*want {
		t.Errorf("fractions with 400 waiting %v, without %v", loaded[:2], idle[:2])
	}
}

func BenchmarkDecide(b *testing.B) {
	b.ReportAllocs()
	hash := uint64(0)
	for b.Loop() {
		hash += 0x9e3779b97f4a7c15
		Admitted(hash, 0.5)
	}
}

func BenchmarkTick(b *testing.B) {
	var m Meter
	now := time.Unix(0, 0)
	floors := []float64{0.1, 0.1, 0.05}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		m.RecordRequest(1, 10)
		m.Tick(now, 1000, Load{}, floors)
	}
}

// TestShares checks that a caller with many requests does not displace one with
// few, and that kinds of requests share the load by weight.
func TestShares(t *testing.T) {
	s := NewFairShares()
	now := time.Unix(0, 0)
	light, heavy, weighted := Claimant{"a", "light"}, Claimant{"a", "heavy"}, Claimant{"b", "heavy"}
	fractions := map[Claimant]float32{}
	for range 3000 {
		now = now.Add(time.Millisecond)
		fractions[heavy] = s.Fraction(now, heavy, 1, 0.3)
		fractions[weighted] = s.Fraction(now, weighted, 2, 0.3)
		if now.UnixMilli()%20 == 0 {
			fractions[light] = s.Fraction(now, light, 1, 0.3)
		}
	}
	granted := 1000*float64(fractions[heavy]) + 1000*float64(fractions[weighted]) + 50*float64(fractions[light])
	if fractions[light] < 1 {
		t.Errorf("the light caller is admitted at fraction %v, want 1", fractions[light])
	}
	if ratio := fractions[weighted] / fractions[heavy]; ratio < 1.8 || ratio > 2.2 {
		t.Errorf("ratio of the shares with weights 2 and 1 is %v", ratio)
	}
	if granted < 0.27*2050 || granted > 0.33*2050 {
		t.Errorf("%v admitted, budget %v", granted, 0.3*2050)
	}
	if got := s.Fraction(now, heavy, 1, 1); got != 1 {
		t.Errorf("fraction without overload is %v, want 1", got)
	}
}
