// Package fulmarrank is described in docs/design.md.
package fulmarrank
