package chronicler

import (
	"encoding/binary"
	"encoding/json"
	"time"

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

// streamDocument holds streams that began at about the same time.
type streamDocument struct {
	Groups   []streamGroup `json:"groups,omitempty"`
	Doubtful []Stream      `json:"doubtful,omitempty"`
}

// streamGroup holds the hashes of streams of one version, 8 bytes each.
type streamGroup struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Hashes  []byte `json:"hashes"`
}

// hashSize is the size of a hash in a streamGroup, in bytes.
const hashSize = 8

// encodeStreams returns the document of streams.
func encodeStreams(streams []Stream) ([]byte, error) {
	var d streamDocument
	groups := map[[2]string]int{}
	for _, s := range streams {
		if s.Endpoint != "" {
			d.Doubtful = append(d.Doubtful, s)
			continue
		}
		key := [2]string{s.Service, s.Version}
		i, ok := groups[key]
		if !ok {
			i = len(d.Groups)
			groups[key] = i
			d.Groups = append(d.Groups, streamGroup{Service: s.Service, Version: s.Version})
		}
		d.Groups[i].Hashes = binary.BigEndian.AppendUint64(d.Groups[i].Hashes, s.Hash)
	}
	data, err := json.Marshal(d)
	return data, errors.Trace(err)
}

// decodeStreams returns the streams of a document.
func decodeStreams(data []byte) ([]Stream, error) {
	var d streamDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Annotate(err, "decoding streams")
	}
	streams := make([]Stream, 0, len(d.Doubtful))
	for _, s := range d.Doubtful {
		if s.Endpoint == "" || s.Version == "" || s.Service == "" || s.AgeMS < 0 {
			return nil, errors.Errorf("decoding streams: stream %x has no endpoint, version or service, or the age %d ms", s.Hash, s.AgeMS)
		}
		streams = append(streams, s)
	}
	for _, g := range d.Groups {
		if len(g.Hashes)%hashSize != 0 || g.Service == "" {
			return nil, errors.Errorf("decoding streams: %d bytes of hashes for service %q", len(g.Hashes), g.Service)
		}
		for i := 0; i < len(g.Hashes); i += hashSize {
			streams = append(streams, Stream{Hash: binary.BigEndian.Uint64(g.Hashes[i:]), Service: g.Service, Version: g.Version})
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
