// Package fulmardedup is described in docs/design.md.
package fulmardedup
