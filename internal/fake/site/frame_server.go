package site

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Handler returns the response frame to the words of a request frame, or nil for no response. The frame began to arrive
// at beganAt. Requests on the same connection are handled concurrently.
type Handler func(words []string, beganAt time.Time) []byte

// FrameServer accepts connections and answers the frames that it receives on them.
type FrameServer struct {
	listener net.Listener
	handle   Handler
	readers  sync.WaitGroup // the accept loop and one reader per connection

	mu          sync.Mutex
	isClosed    bool
	connections map[net.Conn]struct{}
}

// ListenFrames starts a frame server that listens on an address.
func ListenFrames(address string, handle Handler) (*FrameServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &FrameServer{listener: listener, handle: handle, connections: map[net.Conn]struct{}{}}
	s.readers.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *FrameServer) Address() string { return s.listener.Addr().String() }

// Close stops the server and waits for its accept loop and readers to end. A handler that is still running may go on,
// but its response is not delivered.
func (s *FrameServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.isClosed = true
	s.mu.Unlock()
	s.ResetConnections()
	s.readers.Wait()
}

// ResetConnections closes all connections with a reset, as if the server's process had ended.
func (s *FrameServer) ResetConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.connections {
		ResetConnection(connection)
	}
}

// ResetConnection closes a connection, a TCP connection with a reset.
func ResetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (s *FrameServer) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(connection) {
			ResetConnection(connection)
			return
		}
		s.readers.Go(func() { s.serve(connection) })
	}
}

// add registers a connection. It returns false if the server is closed.
func (s *FrameServer) add(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosed {
		return false
	}
	s.connections[connection] = struct{}{}
	return true
}

func (s *FrameServer) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		s.mu.Lock()
		delete(s.connections, connection)
		s.mu.Unlock()
	}()
	var writeMu sync.Mutex
	timed := &timedReader{reader: connection}
	reader := redcon.NewReader(timed)
	for {
		command, err := reader.ReadCommand()
		beganAt := timed.takeFirstByteTime()
		if err != nil || len(command.Args) < 2 {
			return
		}
		words := make([]string, len(command.Args))
		for i, word := range command.Args {
			words[i] = string(word)
		}
		go func() {
			response := s.handle(words, beganAt)
			if response == nil {
				return
			}
			writeMu.Lock()
			defer writeMu.Unlock()
			_, _ = connection.Write(response)
		}()
	}
}

// timedReader records when the first byte of a frame arrived. A frame that was read together with the one before it
// counts as having begun when that one was taken.
type timedReader struct {
	reader      io.Reader
	firstByteAt time.Time
}

func (r *timedReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	if count > 0 && r.firstByteAt.IsZero() {
		r.firstByteAt = time.Now()
	}
	return count, err
}

// takeFirstByteTime returns when the frame began that has just been read.
func (r *timedReader) takeFirstByteTime() time.Time {
	beganAt := r.firstByteAt
	r.firstByteAt = time.Time{}
	if beganAt.IsZero() {
		return time.Now()
	}
	return beganAt
}
