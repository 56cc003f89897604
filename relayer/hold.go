package relayer

import (
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/reserver"
)

const (
	// firstPart and nextPart are the sizes in bytes of the parts in which a body is held. A
	// body that is announced begins with nextPart. The allocator keeps 32 KiB without waste.
	firstPart = 4 << 10
	nextPart  = 32 << 10
	// maxDrain is the size in bytes up to which the rest of a refused body is read, so that
	// its connection can be used again, and drainTime bounds the time for it.
	maxDrain  = 64 << 10
	drainTime = 500 * time.Millisecond
	// writeGrace is how long after the deadline of a request, and after a refusal, the
	// client may take to read the rest of the response.
	writeGrace = 2 * time.Second
)

// hold is the memory that a request holds, as far as its goroutine and those of other
// requests need it.
type hold struct {
	*reserver.Holding

	mu sync.Mutex
	// control is that of the response, nil before the memory was reserved and after the
	// end of the request.
	control *http.ResponseController
	// connection is set if the request gave way so that its connection is free.
	connection bool
}

// giveWay ends the wait for the client. It is called by the goroutine of another request.
func (h *hold) giveWay(d reserver.Drop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.control == nil {
		return
	}
	// A deadline cannot be set on a connection that is closed, and need not.
	past := time.Unix(1, 0)
	h.connection = h.connection || d.Connection
	if !d.Writing {
		_ = h.control.SetReadDeadline(past)
	}
	if d.Writing || d.Connection {
		_ = h.control.SetWriteDeadline(past)
	}
}

// release ends the holding at the end of the request.
func (h *hold) release() {
	h.mu.Lock()
	h.control = nil
	h.mu.Unlock()
	if h.Holding != nil {
		h.Release()
	}
}

// connectionTaken reports whether the connection is needed by another client, so that it
// is closed without a response.
func (h *hold) connectionTaken() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.connection
}

// receive reserves the memory for the request, and then reads its body until the deadline.
// It returns a refusal if there is no memory or if the body does not arrive or is larger
// than limit; a limit of 0 or less means defaultMaxBody.
func (j *job) receive(limit int64) *bergamotdale.Refusal {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if j.request.ContentLength > limit {
		return bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "the request body is larger than the limit of %d bytes", limit)
	}
	r := j.relayer
	control := http.NewResponseController(j.writer)
	if err := control.SetWriteDeadline(j.deadline.Add(writeGrace)); err != nil {
		r.Logger.Warn("failed to set the deadline of a response", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	j.hold.mu.Lock()
	j.hold.control = control
	j.hold.mu.Unlock()
	size := int64(0)
	if j.hasBody() {
		size = max(firstPart, j.request.ContentLength)
	}
	holding, denial := r.Reserver.Open(r.Clock.Now(), size, j.hold.giveWay)
	if denial != nil {
		return j.denied(denial)
	}
	j.hold.Holding = holding
	if !j.hasBody() {
		return nil
	}
	if err := control.SetReadDeadline(j.deadline); err != nil {
		r.Logger.Warn("failed to set the read deadline for a request body", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	holding.AwaitBody(r.Clock.Now())
	refusal := j.readBody(limit)
	if refusal == nil && !holding.Settle() {
		refusal = j.denied(&reserver.Denial{Dropped: true})
	}
	if refusal != nil {
		j.body = nil
		return refusal
	}
	j.bodyRead = true
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		r.Logger.Warn("failed to clear the read deadline of a request body", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	return nil
}

// hasBody reports whether the request has a body.
func (j *job) hasBody() bool { return j.request.Body != nil && j.request.Body != http.NoBody }

// readBody reads the body in parts, and nothing beyond what is reserved but one byte that
// tells whether there is more.
func (j *job) readBody(limit int64) *bergamotdale.Refusal {
	announced := j.request.ContentLength
	size := int64(firstPart)
	if announced > 0 {
		size = min(announced, nextPart)
	}
	read := int64(0)
	var next [1]byte
	for filled := 0; ; filled = 1 {
		part := make([]byte, min(size, limit-read+int64(filled)))
		copy(part, next[:filled])
		ended, refusal := j.fill(part, filled)
		if refusal != nil || ended {
			return refusal
		}
		read += int64(len(part)) - int64(filled)
		n, refusal := j.readFull(next[:])
		if refusal != nil || n == 0 {
			return refusal
		}
		if read++; read > limit {
			return bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "the request body is larger than the limit of %d bytes", limit)
		}
		size = nextPart
		if announced > 0 {
			// What is left, with the byte that has been read.
			size = min(nextPart, max(1, announced-read+1))
		} else if denial := j.hold.Grow(j.relayer.Clock.Now(), nextPart); denial != nil {
			return j.denied(denial)
		}
	}
}

// fill reads the rest of a part of the body, of which the first bytes are known, and keeps
// it. It reports whether the body has ended.
func (j *job) fill(part []byte, known int) (ended bool, refusal *bergamotdale.Refusal) {
	n, refusal := j.readFull(part[known:])
	if refusal != nil {
		return false, refusal
	}
	if known+n > 0 {
		j.body = append(j.body, part[:known+n])
	}
	return known+n < len(part), nil
}

// readFull reads until the buffer is full or the body ends, and returns the number of bytes
// that were read.
func (j *job) readFull(buffer []byte) (int, *bergamotdale.Refusal) {
	read := 0
	for read < len(buffer) {
		n, err := j.request.Body.Read(buffer[read:])
		read += n
		if !j.hold.RecordProgress(j.relayer.Clock.Now(), n) {
			return read, j.denied(&reserver.Denial{Dropped: true})
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return read, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "reading the request body failed").WithCause(err)
		}
	}
	return read, nil
}

// denied returns the refusal of a request that may not hold the memory that it needs. What
// it has held is free at once, so that not all bodies that grow together are refused.
func (j *job) denied(denial *reserver.Denial) *bergamotdale.Refusal {
	if j.hold.Holding != nil {
		j.hold.Release()
	}
	switch {
	case denial.Never:
		return bergamotdale.Refuse(bergamotdale.CodeBodyTooLarge, "the request body is larger than the router can hold")
	case denial.Dropped:
		return bergamotdale.Refuse(bergamotdale.CodeBodyTooSlow, "the request body arrived too slowly, and the memory was needed for other requests").
			After(refusedRetryAfter)
	default:
		return bergamotdale.Refuse(bergamotdale.CodeMemoryExhausted, "the router cannot hold the request now").After(denial.Wait)
	}
}

// recordUnanswered records a refusal that is not sent, since the connection is closed.
func (j *job) recordUnanswered(refusal *bergamotdale.Refusal) {
	j.outcome, j.code, j.cause = "refused", refusal.Code, refusal
	j.broken = true
}

// endUnreadBody prepares a refusal before the body has been read. net/http reads up to 256
// KiB of the rest, without a time limit, before it writes the response or after it.
func (j *job) endUnreadBody() {
	control := http.NewResponseController(j.writer)
	now := time.Now()
	if err := control.SetWriteDeadline(now.Add(writeGrace)); err != nil {
		j.relayer.Logger.Debug("failed to set the deadline of a refusal", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	if j.bodyRead || !j.hasBody() {
		return
	}
	if err := control.SetReadDeadline(now.Add(drainTime)); err != nil {
		j.relayer.Logger.Debug("failed to set the deadline of a refused body", zap.String("request-id", j.envelope.RequestID), zap.Error(err))
	}
	if size := j.request.ContentLength; size < 0 || size > maxDrain || j.code == bergamotdale.CodeBodyTooSlow {
		j.writer.Header().Set("Connection", "close")
	}
}

// clientWriter writes a response, and lets the reserver know while the client does not
// read it.
type clientWriter struct {
	http.ResponseWriter
	job *job
}

// Write implements http.ResponseWriter.
func (w *clientWriter) Write(p []byte) (int, error) {
	if h := w.job.hold.Holding; h != nil {
		h.AwaitReader(w.job.relayer.Clock.Now(), len(p))
		defer h.Settle()
	}
	return w.ResponseWriter.Write(p)
}

// FlushError implements the flush of http.ResponseController.
func (w *clientWriter) FlushError() error {
	if h := w.job.hold.Holding; h != nil {
		h.AwaitReader(w.job.relayer.Clock.Now(), 0)
		defer h.Settle()
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *clientWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// readBuffered reads the beginning of a response: all of it if it has less than
// maxBufferedBody bytes and there is memory for it. It reports whether the response has
// ended.
func (j *job) readBuffered(body io.Reader) (buffered []byte, ended bool, err error) {
	buffered = make([]byte, 0, firstPart)
	for {
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if err == io.EOF {
			return buffered, len(buffered) < maxBufferedBody, nil
		}
		if err != nil {
			return buffered, false, err
		}
		if len(buffered) < cap(buffered) {
			continue
		}
		size := min(4*cap(buffered), maxBufferedBody)
		if size == cap(buffered) || j.hold.Grow(j.relayer.Clock.Now(), int64(size-cap(buffered))) != nil {
			return buffered, false, nil
		}
		buffered = append(make([]byte, 0, size), buffered...)
	}
}
