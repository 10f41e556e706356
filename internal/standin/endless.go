package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// EndlessPart is the part of a reply that has no end.
type EndlessPart string

// The parts of a reply that may have no end.
const (
	EndlessBody           EndlessPart = "body"
	EndlessHead           EndlessPart = "head"
	EndlessInterim        EndlessPart = "interimReplies"
	EndlessChunkExtension EndlessPart = "chunkExtension"
	EndlessTrailers       EndlessPart = "trailers"
	// EndlessWait announces a long body, sends nearly all of it and stalls.
	EndlessWait EndlessPart = "wait"
	// EndlessSurplus goes on after a whole reply that keeps the connection open.
	EndlessSurplus EndlessPart = "surplus"
)

const (
	// endlessBlockBytes is sent every endlessPause.
	endlessBlockBytes = 16 << 10
	endlessPause      = 5 * time.Millisecond
	// announcedBytes is the length of a body that is announced and not sent whole.
	announcedBytes = 4 << 20
)

// endlessReply is a reply without an end.
type endlessReply struct {
	// start comes first, and then blocks of unit.
	start string
	unit  string
	// stallsAfter is how many bytes of the blocks are sent; 0 for no end.
	stallsAfter int
}

const endlessStatus = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// endlessReplies are the replies by their part without an end.
var endlessReplies = map[EndlessPart]endlessReply{
	EndlessBody:           {start: endlessStatus + "\r\n" + `{"records":[`, unit: `"endless",`},
	EndlessHead:           {start: endlessStatus, unit: "X-Endless: a\r\n"},
	EndlessInterim:        {unit: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	EndlessChunkExtension: {start: endlessStatus + "Transfer-Encoding: chunked\r\n\r\n10;x=", unit: "a"},
	EndlessTrailers:       {start: endlessStatus + "Transfer-Encoding: chunked\r\n\r\n0\r\n", unit: "X-Endless: a\r\n"},
	EndlessWait:           {start: endlessStatus + fmt.Sprintf("Content-Length: %d\r\n\r\n", announcedBytes), unit: " ", stallsAfter: announcedBytes - 1},
	EndlessSurplus:        {start: endlessStatus + "Content-Length: 2\r\n\r\n{}", unit: "surplus "},
}

// IsEndlessPart reports whether a reply may be without an end in the part.
func IsEndlessPart(part EndlessPart) bool {
	_, known := endlessReplies[part]
	return known
}

// sendEndless sends a reply without an end until the connection closes.
func sendEndless(w http.ResponseWriter, part EndlessPart) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	endlessReplies[part].sendTo(conn)
}

func (r endlessReply) sendTo(conn net.Conn) {
	if _, err := io.WriteString(conn, r.start); err != nil {
		return
	}
	block := bytes.Repeat([]byte(r.unit), endlessBlockBytes/len(r.unit))
	if r.stallsAfter > 0 {
		for left := r.stallsAfter; left > 0; left -= len(block) {
			if _, err := conn.Write(block[:min(len(block), left)]); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}
