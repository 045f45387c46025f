// Package fulmarring is described in docs/design.md.
package fulmarring
