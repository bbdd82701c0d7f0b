// Package tcp holds the settings shared by all TCP connections to other systems.
package tcp

import (
	"net"
	"time"
)

// KeepAlive detects a dead connection within three seconds of its last byte.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
