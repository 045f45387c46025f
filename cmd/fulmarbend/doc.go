// Command fulmarbend is the daemon that runs on every instance.
//
//	fulmarbend serve --settings FILE
//	fulmarbend check FILE
package main
