package callers

import "time"

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.connections.beginWrite(c)
	n, err := c.Conn.Write(b)
	c.connections.endWrite(c)
	return n, err
}

func (cc *Connections) beginWrite(c *Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c.writingSince = time.Now()
	if cc.Limits.WriteTimeout > 0 && !c.writeEnded {
		_ = c.Conn.SetWriteDeadline(c.writingSince.Add(cc.Limits.WriteTimeout)) // fails only on a closed connection
	}
}

func (cc *Connections) endWrite(c *Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c.writingSince = time.Time{}
}

// SetWriteDeadline implements net.Conn. A deadline in the past ends all writes from then on.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	c.writeEnded = c.writeEnded || !t.IsZero() && !t.After(time.Now())
	if c.writeEnded {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetWriteDeadline(t)
}
