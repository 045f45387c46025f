// Package fulmarbudget is described in docs/design.md.
package fulmarbudget
