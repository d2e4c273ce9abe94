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
	// heldBytes is the largest body that is held in memory, and the part of a
	// body that the fingerprint covers. More would let 4,096 connections hold
	// gigabytes.
	heldBytes = 64 << 10
	// heldTimeout bounds the wait for a body that is held before the request
	// is decided on.
	heldTimeout = 60 * time.Second
)

var (
	errTruncated = errors.New("the caller closed before the end of its body")
	errTooLarge  = errors.New("the body is larger than the limit")
)

// readBody holds a small body in full, and the first part of a larger one.
func readBody(ctx *fasthttp.RequestCtx, limit int64) (upstream.Body, error) {
	declared := ctx.Request.Header.ContentLength()
	if int64(declared) > limit {
		return upstream.Body{}, errTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil || declared == 0 || declared == -2 {
		return upstream.Body{}, nil
	}
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(heldTimeout))
	defer func() { _ = ctx.Conn().SetReadDeadline(time.Time{}) }()
	if declared < 0 {
		return readChunkedBody(ctx, stream, limit)
	}
	held := make([]byte, min(declared, heldBytes))
	if _, err := io.ReadFull(stream, held); err != nil {
		return upstream.Body{}, errTruncated
	}
	body := upstream.Body{Held: held, Length: declared}
	if declared > heldBytes {
		body.Rest = stream
	}
	return body, nil
}

// readChunkedBody turns a small chunked body into one of known length.
func readChunkedBody(ctx *fasthttp.RequestCtx, stream io.Reader, limit int64) (upstream.Body, error) {
	held, err := io.ReadAll(io.LimitReader(stream, heldBytes+1))
	if err != nil {
		return upstream.Body{}, errTruncated
	}
	if len(held) <= heldBytes {
		ctx.Request.Header.Del(fasthttp.HeaderTransferEncoding)
		ctx.Request.Header.SetContentLength(len(held))
		return upstream.Body{Held: held, Length: len(held)}, nil
	}
	rest := &limitedUpload{stream: stream, left: limit - int64(len(held))}
	return upstream.Body{Held: held, Rest: rest, Length: -1}, nil
}

// limitedUpload fails a chunked upload that grows beyond the limit.
type limitedUpload struct {
	stream io.Reader
	left   int64
}

func (u *limitedUpload) Read(p []byte) (int, error) {
	n, err := u.stream.Read(p)
	u.left -= int64(n)
	if u.left < 0 {
		return n, errTooLarge
	}
	return n, err
}

// uploadReader notes that the stream of a request was used.
type uploadReader struct {
	request *request
	rest    io.Reader
}

func (u uploadReader) Read(p []byte) (int, error) {
	u.request.uploading = true
	return u.rest.Read(p)
}

// fingerprint identifies the content of a request. All instances must compute
// the same value, since suspects are reported between them.
func fingerprint(service string, header *fasthttp.RequestHeader, key string, held []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	add(&digest, len(service))
	_, _ = digest.WriteString(service)
	add(&digest, len(key))
	_, _ = digest.WriteString(key)
	for _, part := range [...][]byte{header.Method(), header.RequestURI(), held} {
		add(&digest, len(part))
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// add hashes a length, so that the ends of the parts count.
func add(digest *xxhash.Digest, length int) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], uint64(length))
	_, _ = digest.Write(bytes[:])
}
