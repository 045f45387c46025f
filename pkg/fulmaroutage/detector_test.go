package fulmaroutage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutage"
)

func at(ms int) time.Time {
	return time.UnixMilli(1_800_000_000_000).Add(time.Duration(ms) * time.Millisecond)
}

func TestDetector(t *testing.T) {
	expectEnd := func(name string, calls func(d *fulmaroutage.Detector), end time.Time) {
		t.Run(name, func(t *testing.T) {
			var d fulmaroutage.Detector
			calls(&d)
			NewWithT(t).Expect(d.EndedAt()).To(Equal(end))
		})
	}
	none := time.Time{}
	expectEnd("no call", func(*fulmaroutage.Detector) {}, none)
	expectEnd("calls without an answer for a second", func(d *fulmaroutage.Detector) {
		d.Answered(at(0))
		d.Failed(at(500), at(1400))
		d.Failed(at(1600), at(1700))
		d.Answered(at(1800))
	}, at(1800))
	expectEnd("a failed call", func(d *fulmaroutage.Detector) {
		d.Failed(at(500), at(900))
		d.Answered(at(1000))
	}, none)
	expectEnd("no answer before", func(d *fulmaroutage.Detector) {
		d.Failed(at(0), at(500))
		d.Failed(at(3900), at(4200))
		d.Answered(at(5000))
	}, at(5000))
	expectEnd("an outage that goes on", func(d *fulmaroutage.Detector) {
		d.Failed(at(0), at(900))
		d.Failed(at(1900), at(2800))
	}, none)
	// Guards against a pause of the caller that counts as a part of an outage.
	expectEnd("a failed call, and a pause of two seconds", func(d *fulmaroutage.Detector) {
		d.Failed(at(0), at(900))
		d.Answered(at(2900))
	}, none)
	expectEnd("answers after the outage", func(d *fulmaroutage.Detector) {
		d.Failed(at(0), at(900))
		d.Failed(at(1000), at(1100))
		d.Answered(at(1500))
		d.Answered(at(1700))
	}, at(1500))
	// Guards against an outage that is seen because one kind of calls fails, while others are answered.
	expectEnd("long calls fail while short ones are answered", func(d *fulmaroutage.Detector) {
		for ms := 0; ms < 4000; ms += 800 {
			d.Answered(at(ms))
			d.Answered(at(ms + 400))
			d.Failed(at(ms), at(ms+650))
		}
		d.Answered(at(4000))
	}, none)
	// Guards against a failure that counts as an outage up to the next call, which may come much later.
	expectEnd("a failure, and a call much later", func(d *fulmaroutage.Detector) {
		d.Failed(at(0), at(900))
		d.Answered(at(9000))
	}, none)
	expectEnd("two failures, of which one is much later", func(d *fulmaroutage.Detector) {
		d.Failed(at(0), at(900))
		d.Failed(at(9000), at(9300))
		d.Answered(at(9500))
	}, none)
	expectEnd("calls that end out of order", func(d *fulmaroutage.Detector) {
		d.Answered(at(1000))
		d.Failed(at(100), at(1100))
		d.Answered(at(900))
		d.Answered(at(1900))
	}, none)
}
