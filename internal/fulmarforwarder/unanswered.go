package fulmarforwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

const (
	// endWindow is the time after a request without an answer in which the end of its target may be due to it. The entry of a
	// target that has fallen silent is removed after three intervals between its heartbeats, which are about a second.
	endWindow = 8 * time.Second
	// maxUnanswered bounds the requests that are remembered for that.
	maxUnanswered = 512
	// inquiryTimeout is the time for the answer of a target that is asked whether it runs. It may have a full queue before it.
	inquiryTimeout = 2 * time.Second
	// maxInquiries bounds the targets that are asked at the same time: a data centre loses hundreds together.
	maxInquiries = 64
)

// answered replaces a fingerprint of a request that is under no suspicion any more.
const answered = 0

// unansweredSend is a request that a target has not answered.
type unansweredSend struct {
	works   works // answered where the same one has been answered since
	target  fulmarrange.Incarnation
	at      time.Time // when the daemon gave it up
	address string    // of the target
	health  string    // path of the target's health check, empty for none
}

// unansweredSends holds the latest requests without an answer; it is safe for concurrent use.
type unansweredSends struct {
	mu    sync.Mutex
	sends []unansweredSend // by time
}

func (u *unansweredSends) add(s unansweredSend) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends = append(u.sends[max(len(u.sends)+1-maxUnanswered, 0):], s)
}

// isEmpty reports whether no requests are remembered.
func (u *unansweredSends) isEmpty() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.sends) == 0
}

// drop removes the requests for which remove returns true.
func (u *unansweredSends) drop(remove func(unansweredSend) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sends = slices.DeleteFunc(u.sends, remove)
}

// answer records that a request has been answered. It removes the requests whose fingerprints have all been answered.
func (u *unansweredSends) answer(w works) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.sends {
		for j, work := range w {
			if u.sends[i].works[j] == work {
				u.sends[i].works[j] = answered
			}
		}
	}
	u.sends = slices.DeleteFunc(u.sends, func(s unansweredSend) bool { return s.works == works{} })
}

// take removes the requests for which ended returns true, and returns them by target.
func (u *unansweredSends) take(ended func(unansweredSend) bool) map[fulmarrange.Incarnation][]unansweredSend {
	out := make(map[fulmarrange.Incarnation][]unansweredSend)
	u.drop(func(s unansweredSend) bool {
		if !ended(s) {
			return false
		}
		out[s.target] = append(out[s.target], s)
		return true
	})
	return out
}
