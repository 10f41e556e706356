package node

import (
	"sync"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
)

const (
	// maxUnreadableNotices limits the notices that an unreadableNotices remembers and logs.
	maxUnreadableNotices = 256
	// maxNoticeText limits the text of a notice that is remembered and logged, in bytes.
	maxNoticeText = 256
)

// unreadableNotices logs notices of peers that can't be read, each once. It is safe for
// concurrent use.
type unreadableNotices struct {
	log logr.Logger

	mu sync.Mutex
	// logged holds what was logged; at most maxUnreadableNotices.
	logged util.Set[unreadableNotice]
}

// unreadableNotice is a notice with its texts shortened.
type unreadableNotice struct {
	upstream, incarnation string
}

func newUnreadableNotices(log logr.Logger) *unreadableNotices {
	return &unreadableNotices{log: log, logged: util.NewSet[unreadableNotice]()}
}

// note logs the notices in the answer of a peer that are not logged yet, in one line.
func (u *unreadableNotices) note(vm string, notices []*wire.Notice) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var news []unreadableNotice
	for _, notice := range notices {
		if shortened := shortenedNotice(notice); len(u.logged) < maxUnreadableNotices && u.logged.Add(shortened) {
			news = append(news, shortened)
		}
	}
	if len(news) > 0 {
		u.log.Info("peerNoticesUnreadable", "vm", vm, "notices", len(notices), "news", len(news),
			"upstream", news[0].upstream, "incarnation", news[0].incarnation)
	}
}

func shortenedNotice(notice *wire.Notice) unreadableNotice {
	id, incarnation := notice.GetUpstream(), notice.GetIncarnation()
	return unreadableNotice{upstream: id[:min(len(id), maxNoticeText)], incarnation: incarnation[:min(len(incarnation), maxNoticeText)]}
}
