// Package fulmarplan is described in docs/design.md.
package fulmarplan
