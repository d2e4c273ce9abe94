package entry

import (
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"pistachioford.example/pistachioford/upstream"
)

const (
	// maxBufferedBytes is the largest body that is buffered in memory, and how
	// much of a body the fingerprint covers. A higher limit would let 4,096
	// connections hold gigabytes.
	maxBufferedBytes = 64 << 10
	// bodyReadTimeout bounds how long the buffered part of a body may take to
	// arrive. The engine does not see the request before that.
	bodyReadTimeout = 60 * time.Second
)

var (
	errTruncated = errors.New("the caller closed before the end of its body")
	errTooLarge  = errors.New("the body is larger than the limit")
)

// readBody buffers a body of up to maxBufferedBytes in full. Of a larger one it
// buffers the first part and leaves the rest in the stream.
func readBody(ctx *fasthttp.RequestCtx, limit int64) (upstream.Body, error) {
	// The length is -1 for a chunked body and -2 if the header states no length.
	contentLength := ctx.Request.Header.ContentLength()
	if int64(contentLength) > limit {
		return upstream.Body{}, errTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil || contentLength == 0 || contentLength == -2 {
		return upstream.Body{}, nil
	}
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = ctx.Conn().SetReadDeadline(time.Time{}) }()
	if contentLength < 0 {
		return readChunkedBody(ctx, stream, limit)
	}
	buffered := make([]byte, min(contentLength, maxBufferedBytes))
	if _, err := io.ReadFull(stream, buffered); err != nil {
		return upstream.Body{}, errTruncated
	}
	body := upstream.Body{Buffered: buffered, Length: contentLength}
	if contentLength > maxBufferedBytes {
		body.Rest = stream
	}
	return body, nil
}

// readChunkedBody gives a small chunked body a Content-Length. A larger one
// stays chunked and is streamed.
func readChunkedBody(ctx *fasthttp.RequestCtx, stream io.Reader, limit int64) (upstream.Body, error) {
	buffered, err := io.ReadAll(io.LimitReader(stream, maxBufferedBytes+1))
	if err != nil {
		return upstream.Body{}, errTruncated
	}
	if len(buffered) <= maxBufferedBytes {
		ctx.Request.Header.Del(fasthttp.HeaderTransferEncoding)
		ctx.Request.Header.SetContentLength(len(buffered))
		return upstream.Body{Buffered: buffered, Length: len(buffered)}, nil
	}
	rest := &limitedUpload{stream: stream, remaining: limit - int64(len(buffered))}
	return upstream.Body{Buffered: buffered, Rest: rest, Length: -1}, nil
}

// limitedUpload reads a chunked body and fails once the body exceeds the limit.
type limitedUpload struct {
	stream    io.Reader
	remaining int64
}

func (u *limitedUpload) Read(p []byte) (int, error) {
	n, err := u.stream.Read(p)
	u.remaining -= int64(n)
	if u.remaining < 0 {
		return n, errTooLarge
	}
	return n, err
}

// uploadReader sets uploadStarted on the request when its body stream is read.
type uploadReader struct {
	request *request
	rest    io.Reader
}

func (u uploadReader) Read(p []byte) (int, error) {
	u.request.uploadStarted = true
	return u.rest.Read(p)
}

// fingerprint hashes the service, the idempotency key, the method, the URI and
// the buffered part of the body. All instances must compute the same value,
// since they report suspect requests to each other by their fingerprint.
func fingerprint(service string, header *fasthttp.RequestHeader, key string, buffered []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	writeLength(&digest, len(service))
	_, _ = digest.WriteString(service)
	writeLength(&digest, len(key))
	_, _ = digest.WriteString(key)
	for _, part := range [...][]byte{header.Method(), header.RequestURI(), buffered} {
		writeLength(&digest, len(part))
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// writeLength hashes the length of the next part, so that shifting bytes from
// one part to another changes the fingerprint.
func writeLength(digest *xxhash.Digest, length int) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(length))
	_, _ = digest.Write(buf[:])
}
