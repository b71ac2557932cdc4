//go:build !linux

// Package direct reads and writes sockets by raw system calls on Linux. On other systems
// it leaves connections unchanged.
package direct

import "net"

// Wrap returns c unchanged.
func Wrap(c net.Conn) net.Conn { return c }
