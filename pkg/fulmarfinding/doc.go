// Package fulmarfinding describes what a check of a configuration has found.
package fulmarfinding
