//go:build !linux

// Package direct is of use on Linux only.
package direct

import "net"

// Conn is c as it is.
func Conn(c net.Conn) net.Conn { return c }
