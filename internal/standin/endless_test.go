package standin

import "testing"

// TestEndlessRepliesAreMadeWhenSent guards against replies of the stand-ins that are kept ready
// in every process of the program, nodes included.
func TestEndlessRepliesAreMadeWhenSent(t *testing.T) {
	const maxBytes = 4 << 10
	kept := 0
	for _, reply := range endlessReplies {
		kept += len(reply.start) + len(reply.unit)
	}
	if kept > maxBytes {
		t.Errorf("%d bytes are kept, %d are allowed", kept, maxBytes)
	}
}
