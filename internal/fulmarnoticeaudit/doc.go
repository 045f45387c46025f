// Package fulmarnoticeaudit checks from outside whether daemons keep to what a
// target says of itself in its answers: that it leaves, or that it wants no
// requests for a time.
package fulmarnoticeaudit
