// Package fulmarqueue is described in docs/design.md.
package fulmarqueue
