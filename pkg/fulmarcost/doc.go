// Package fulmarcost is described in docs/design.md.
package fulmarcost
