package standin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// invalidStatus is what net/http's client accepts as a status and is none.
const invalidStatus = "000"

// sendInvalidStatus sends a whole reply that has no valid status, and closes the connection.
func sendInvalidStatus(w http.ResponseWriter, reply upstream.Reply) {
	body, err := json.Marshal(reply)
	if err != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Invalid\r\nContent-Length: %d\r\n\r\n%s", invalidStatus, len(body), body)
}
