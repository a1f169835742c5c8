package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// senderOf returns the name of the instance that opened a connection, "" if it isn't known. On
// the users' machines the source address tells it. On loopback all instances have the same one,
// so that the port has to be looked up.
func senderOf(c net.Conn, instances []*instance) string {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := socketInode(remote, c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return ""
	}
	for _, in := range instances {
		dir := fmt.Sprintf("/proc/%d/fd", in.cmd.Process.Pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && link == "socket:["+inode+"]" {
				return in.name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket with the local and the remote address.
func socketInode(local, remote *net.TCPAddr) string {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	want := hexAddr(local) + " " + hexAddr(remote)
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1]+" "+f[2] == want {
			return f[9]
		}
	}
	return ""
}

func hexAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
