package fulmardispatch_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"

	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

// Guards against an answer that is served, and recorded, although its head has a line that is no field.
var _ = DescribeTable("an answer whose head is broken is not served",
	func(idempotent bool, start string) {
		f := newFixture(idempotent, 3)
		f.setTargetHandler(sendRaw(start, func(*net.TCPConn) {}))
		id := newID()
		expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		if !idempotent {
			expectRefused(f.do(background, call{id: id}), unknown, fulmaroutcome.TargetLost)
		}
	},
	Entry("space in a name, idempotent", true, "200 x\r\nBad Name: x"), Entry("space in a name, at most once", false, "200 x\r\nBad Name: x"),
	Entry("space behind the name of the length, idempotent", true, "200 x\r\nContent-Length : 1"),
	Entry("space behind the name of the length, at most once", false, "200 x\r\nContent-Length : 1"),
	Entry("control byte in a name, idempotent", true, "200 x\r\nBad\x01Name: x"), Entry("control byte in a name, at most once", false, "200 x\r\nBad\x01Name: x"),
	Entry("status 000, idempotent", true, "000 x"), Entry("status 000, at most once", false, "000 x"),
)
