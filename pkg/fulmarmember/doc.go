// Package fulmarmember is described in docs/design.md.
package fulmarmember
