package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// answerOf returns an answer with one record of the length.
func answerOf(status answer.Status, bytes int) *answer.Answer {
	return &answer.Answer{Status: status, Records: query.Texts{make([]byte, bytes)}}
}

// TestRunTableKeepsToItsMemory: whatever runs start and end, the table takes no more than its
// limit, and no key that ran, or is running, runs again before its time.
func TestRunTableKeepsToItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := memory.Bytes(rapid.Int64Range(int64(memory.Kilobyte), int64(64*memory.Kilobyte)).Draw(t, "limit"))
		r, now := NewRunTable(limit), time.Now()
		type known struct {
			run     *Run
			started time.Time
			ended   bool
			status  answer.Status
		}
		model := map[string]*known{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			key := fmt.Sprint("key-", rapid.IntRange(0, 30).Draw(t, "key"))
			before := model[key]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				run, created := r.Start(now, key, 1)
				if before != nil && (created || run != before.run) {
					t.Fatalf("%s runs again", key)
				}
				if created {
					model[key] = &known{run: run, started: now}
				}
			case 2:
				if before == nil || before.ended {
					continue
				}
				before.status = rapid.SampledFrom([]answer.Status{answer.Ran, answer.RanOnce, answer.Unknown, answer.NotRun}).Draw(t, "status")
				before.ended = true
				r.Complete(before.run, answerOf(before.status, rapid.IntRange(0, 16<<10).Draw(t, "bytes")))
				if before.status == answer.NotRun {
					delete(model, key)
				}
			case 3:
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(Retention)).Draw(t, "passed")))
				r.Tick(now)
				for key, k := range model {
					if k.ended && now.Sub(k.started) > Retention {
						delete(model, key)
					}
				}
			}
			if r.Held() > limit {
				t.Fatalf("%d bytes of %d", r.Held(), limit)
			}
			for key, k := range model {
				if run, found := r.Lookup(key); !found || run != k.run {
					t.Fatalf("%s is forgotten", key)
				}
				if a, ended := k.run.Wait(doneContext()); ended != k.ended || a != nil && a.Status != k.status || ended && k.run.Status() != k.status {
					t.Fatalf("%s: ended %v, answer %v", key, ended, a)
				}
			}
		}
		now = now.Add(2 * Retention)
		for _, k := range model {
			if !k.ended {
				r.Complete(k.run, answerOf(answer.Ran, 10))
			}
		}
		if r.Tick(now); r.Held() != 0 {
			t.Fatalf("%d bytes are held for nothing", r.Held())
		}
	})
}

func doneContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestOldAnswersMakeRoom guards against outcomes that take all memory: the oldest answers go
// first, and what ran is still known.
func TestOldAnswersMakeRoom(t *testing.T) {
	const limit, runs, bytes = memory.Megabyte, 200, 100 << 10
	r, now := NewRunTable(limit), time.Now()
	var all []*Run
	for i := range runs {
		run, created := r.Start(now, fmt.Sprint(i), 1)
		if !created {
			t.Fatalf("run %d was refused", i)
		}
		r.Complete(run, answerOf(answer.RanOnce, bytes))
		all = append(all, run)
	}
	if r.Held() > limit {
		t.Errorf("%d bytes of %d", r.Held(), limit)
	}
	for i, want := range map[int]bool{0: false, runs - 1: true} {
		a, ended := all[i].Wait(context.Background())
		if !ended || (a != nil) != want || all[i].Status() != answer.RanOnce {
			t.Errorf("run %d: ended %v, answer kept %v, status %s", i, ended, a != nil, all[i].Status())
		}
	}
}

// TestFullTableTellsWhenThereIsRoom: a table full of runs refuses new ones, and says when the
// first of them may be forgotten.
func TestFullTableTellsWhenThereIsRoom(t *testing.T) {
	r, now := NewRunTable(4*memory.Kilobyte), time.Now()
	count := 0
	for ; count < 100; count++ {
		run, _ := r.Start(now, fmt.Sprint(count), 1)
		if run == nil {
			break
		}
		r.Complete(run, answerOf(answer.RanOnce, 10))
	}
	if count == 0 || count == 100 {
		t.Fatalf("%d runs in 4 kB", count)
	}
	now = now.Add(Retention / 2)
	wait := r.UntilRoom(now)
	now = now.Add(wait + time.Second)
	r.Tick(now)
	if run, created := r.Start(now, "next", 1); run == nil || !created {
		t.Errorf("no room after %s", wait)
	}
}
