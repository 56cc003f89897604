package chronicler

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// Stream is the software version that began a stream, and the endpoint if it is not
// certain which incarnation of it answered.
type Stream struct {
	// Hash is that of the stream's ID; see HashStream.
	Hash    uint64 `json:"hash"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Endpoint is empty if the version is certain. Otherwise the stream began at this
	// incarnation of it, AgeMS before the record was made.
	Endpoint    string `json:"endpoint,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	AgeMS       int64  `json:"age-ms,omitempty"`
}

// HashStream returns the hash of a stream's ID by which it is recorded.
func HashStream(id string) uint64 { return hasher.Hash(id) }

// streamDocument holds streams that began at about the same time. It is encoded in CBOR
// (RFC 8949), as routers that start read those of all.
type streamDocument struct {
	_ struct{} `cbor:",toarray"`
	// Versions holds services with their versions, in pairs.
	Versions [][2]string
	Groups   []streamGroup
}

// streamGroup holds streams of one version, and of one incarnation of an endpoint if
// that was not certain.
type streamGroup struct {
	_ struct{} `cbor:",toarray"`
	// Version is the index in streamDocument.Versions.
	Version     int
	Endpoint    string
	Incarnation int64
	// AgeMS is the age of the youngest stream.
	AgeMS int64
	// Hashes holds hashSize bytes of each stream.
	Hashes []byte
}

// hashSize is the size of a hash in a streamGroup, in bytes.
const hashSize = 8

// encodeStreams returns the document of streams.
func encodeStreams(streams []Stream) ([]byte, error) {
	type origin struct {
		version, incarnation int64
		endpoint             string
	}
	var d streamDocument
	versions, groups := map[[2]string]int{}, map[origin]int{}
	for _, s := range streams {
		v, ok := versions[[2]string{s.Service, s.Version}]
		if !ok {
			v = len(d.Versions)
			versions[[2]string{s.Service, s.Version}] = v
			d.Versions = append(d.Versions, [2]string{s.Service, s.Version})
		}
		from := origin{int64(v), s.Incarnation, s.Endpoint}
		i, ok := groups[from]
		if !ok {
			i = len(d.Groups)
			groups[from] = i
			d.Groups = append(d.Groups, streamGroup{Version: v, Endpoint: s.Endpoint, Incarnation: s.Incarnation, AgeMS: s.AgeMS})
		}
		g := &d.Groups[i]
		g.AgeMS = min(g.AgeMS, s.AgeMS)
		g.Hashes = binary.BigEndian.AppendUint64(g.Hashes, s.Hash)
	}
	data, err := cbor.Marshal(d)
	return data, errors.Trace(err)
}

// decodeStreams returns the streams of a document.
func decodeStreams(data []byte) ([]Stream, error) {
	var d streamDocument
	if err := cbor.Unmarshal(data, &d); err != nil {
		return nil, errors.Annotate(err, "decoding streams")
	}
	var streams []Stream
	for _, g := range d.Groups {
		if g.Version < 0 || g.Version >= len(d.Versions) || g.AgeMS < 0 || len(g.Hashes)%hashSize != 0 {
			return nil, errors.Errorf("decoding streams: group of version %d of %d, age %d ms, %d bytes of hashes", g.Version, len(d.Versions), g.AgeMS, len(g.Hashes))
		}
		for i := 0; i < len(g.Hashes); i += hashSize {
			streams = append(streams, Stream{
				Hash: binary.BigEndian.Uint64(g.Hashes[i:]), Service: d.Versions[g.Version][0], Version: d.Versions[g.Version][1],
				Endpoint: g.Endpoint, Incarnation: g.Incarnation, AgeMS: g.AgeMS,
			})
		}
	}
	return streams, nil
}

// aged returns the stream as it is after some more time.
func (s Stream) aged(d time.Duration) Stream {
	if s.Endpoint != "" {
		s.AgeMS += d.Milliseconds()
	}
	return s
}
