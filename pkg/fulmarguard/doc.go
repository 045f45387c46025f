// Package fulmarguard is described in docs/design.md.
package fulmarguard
