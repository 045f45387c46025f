package fulmarfrontdaemon

import (
	"github.com/fulmarbend/fulmarbend/internal/fulmarmetric"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarreserve"
)

// callerMemoryDivisor is the part of the instance's memory that bodies of callers and of targets may take, half of the heap's. The
// other half is for connections, the view of the fleet, and garbage.
const callerMemoryDivisor = 2 * memoryLimitDivisor

// callerMemory is the memory that is held for callers. It counts what there was no room for.
type callerMemory struct {
	*fulmarreserve.Budget
	metrics *fulmarmetric.Metrics
}

// newCallerMemory returns the memory for callers of an instance, without a bound if the instance's is not known.
func newCallerMemory(instanceBytes int64, metrics *fulmarmetric.Metrics) callerMemory {
	return callerMemory{fulmarreserve.New(max(instanceBytes, 0) / callerMemoryDivisor), metrics}
}

// Reserve implements fulmarhttpserver.Memory.
func (m callerMemory) Reserve(caller string, n int64) bool {
	ok := m.Budget.Reserve(caller, n)
	if !ok {
		m.metrics.Count("relay.no_memory")
	}
	return ok
}

// ReserveOptional implements fulmarhttpserver.Memory.
func (m callerMemory) ReserveOptional(caller string, n int64) bool {
	ok := m.Budget.ReserveOptional(caller, n)
	if !ok {
		m.metrics.Count("relay.body_not_retained")
	}
	return ok
}
