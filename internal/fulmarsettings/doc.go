// Package fulmarsettings reads the settings file of a daemon.
//
// The file is TOML and is parsed strictly: an unknown key, a value of the wrong
// type, a duration without a unit and a value out of bounds are faults. Parse
// returns all of them at once in a *FaultsError, each with its line and field.
// Every [timing] setting has a default; id, dc, the addresses and the keys have
// none. Addresses are IP:port, because a daemon must start without DNS.
package fulmarsettings
