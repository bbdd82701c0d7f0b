// Package tcp holds what all TCP connections to other systems have in common.
package tcp

import (
	"net"
	"time"
)

// KeepAlive finds a silent connection within three seconds of its last byte.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
