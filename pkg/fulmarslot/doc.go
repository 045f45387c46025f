// Package fulmarslot is described in docs/design.md.
package fulmarslot
