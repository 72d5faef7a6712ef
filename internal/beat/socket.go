package beat

import (
	"context"
	"net"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
)

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	port int
	log  *logrus.Entry
}

// Open binds the port for peers at ip.
func Open(ip string, port int, log *logrus.Entry) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "free the port or change the settings", "the port %d for peers cannot be used", port)
	}
	return &Socket{conn: conn, port: port, log: log}, nil
}

// Send sends m to the processes at hosts. Datagrams may be lost.
func (s *Socket) Send(m *Message, hosts []string) {
	raw, err := encode(m)
	if err != nil {
		s.log.WithError(err).Error("no message was sent to peers")
		return
	}
	for _, host := range hosts {
		// A lost datagram is made up for by the next one.
		_, _ = s.conn.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(host), Port: s.port})
	}
}

// Receive calls handle for each message until ctx ends.
func (s *Socket) Receive(ctx context.Context, handle func(*Message)) {
	go func() {
		<-ctx.Done()
		s.conn.Close()
	}()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		count, _, err := s.conn.ReadFromUDP(buffer)
		if err != nil {
			continue
		}
		m, err := decode(buffer[:count])
		if err != nil {
			s.log.WithError(err).Debug("a peer's message was dropped")
			continue
		}
		handle(m)
	}
}
