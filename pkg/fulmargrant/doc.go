// Package fulmargrant is described in docs/design.md.
package fulmargrant
