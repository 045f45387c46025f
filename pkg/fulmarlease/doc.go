// Package fulmarlease is described in docs/design.md.
package fulmarlease
