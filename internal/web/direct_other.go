//go:build !linux

package web

import "net"

// direct is of use on Linux only.
func direct(c net.Conn) net.Conn { return c }
