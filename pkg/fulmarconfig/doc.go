// Package fulmarconfig is described in docs/design.md.
package fulmarconfig
