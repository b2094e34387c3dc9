package peer

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/availability"
)

// Bounds on a summary. maxFunctions and maxSamples are the maximum that the
// operators' settings allow; kinds that cannot be merged may add some functions.
const (
	maxFunctions = 4000
	maxSamples   = 100
	maxNumber    = 1 << 50 // a sum of maxSamples such numbers does not overflow
)

// initialSamples bounds the memory allocated for a summary before its samples are
// read.
const initialSamples = 2048

var errMalformedSummary = errors.New("not a summary")

// summary is encoded as the kinds of its functions, the number of functions, the
// total number of samples, and then the functions one after another.
type summary availability.Summary

var (
	_ msgpack.CustomEncoder = summary{}
	_ msgpack.CustomDecoder = (*summary)(nil)
)

// EncodeMsgpack encodes a summary.
func (s summary) EncodeMsgpack(e *msgpack.Encoder) error {
	kinds := map[string]int{}
	var names []string
	samples := 0
	for _, f := range s {
		if _, ok := kinds[f.Kind]; !ok {
			kinds[f.Kind] = len(names)
			names = append(names, f.Kind)
		}
		samples += len(f.Samples)
	}
	w := summaryWriter{encoder: e, err: e.EncodeArrayLen(len(names))}
	for _, name := range names {
		w.err = errors.Join(w.err, e.EncodeString(name))
	}
	w.ints(int64(len(s)), int64(samples))
	for _, f := range s {
		w.ints(int64(kinds[f.Kind]), f.Count)
		w.floats(f.Resources.CPUs, f.Resources.GPUs, f.Resources.MemoryGB, f.Resources.DiskGB)
		w.ints(int64(len(f.Samples)))
		w.samples(f.Samples)
	}
	return w.err
}

// summaryWriter writes numbers until the first error.
type summaryWriter struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *summaryWriter) ints(numbers ...int64) {
	for _, n := range numbers {
		if w.err == nil {
			w.err = w.encoder.EncodeInt(n)
		}
	}
}

func (w *summaryWriter) floats(numbers ...float64) {
	for _, n := range numbers {
		if w.err == nil {
			w.err = w.encoder.EncodeFloat64(n)
		}
	}
}

func (w *summaryWriter) samples(samples []availability.Sample) {
	previousMS := int64(0)
	for _, p := range samples {
		w.ints(p.TimeMS-previousMS, p.AvailableMS)
		previousMS = p.TimeMS
	}
}

// DecodeMsgpack decodes a summary. The bytes of the message bound the number of
// samples that it decodes, since each number takes at least one byte.
func (s *summary) DecodeMsgpack(d *msgpack.Decoder) error {
	names, err := decodeNames(d)
	if err != nil {
		return err
	}
	r := summaryReader{decoder: d, names: names}
	functions := r.count(maxFunctions)
	r.samplesLeft = r.count(maxFunctions * maxSamples)
	if r.err != nil {
		return r.err
	}
	r.samples = make([]availability.Sample, 0, min(r.samplesLeft, initialSamples))
	for range functions {
		f := r.function()
		if r.err != nil {
			return r.err
		}
		*s = append(*s, f)
	}
	return nil
}

func decodeNames(d *msgpack.Decoder) ([]string, error) {
	n, err := d.DecodeArrayLen()
	if err != nil || n > MaxMessageBytes {
		return nil, errors.Join(errMalformedSummary, err)
	}
	var names []string
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// summaryReader reads numbers until the first error.
type summaryReader struct {
	decoder     *msgpack.Decoder
	names       []string
	samples     []availability.Sample // samples of all functions
	samplesLeft int64
	err         error
}

// number reads a number and checks its bounds. After an error it returns 0.
func (r *summaryReader) number(minimum, maximum int64) int64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeInt64()
	if err == nil && (n < minimum || n > maximum) {
		err = errMalformedSummary
	}
	r.err = err
	return n
}

func (r *summaryReader) count(maximum int64) int64 { return r.number(0, maximum) }

func (r *summaryReader) float() float64 {
	if r.err != nil {
		return 0
	}
	n, err := r.decoder.DecodeFloat64()
	r.err = err
	return n
}

// function reads a function. After an error the result is incomplete.
func (r *summaryReader) function() availability.Function {
	kind, count := r.count(int64(len(r.names))-1), r.count(maxNumber)
	if r.err != nil {
		return availability.Function{}
	}
	f := availability.Function{Kind: r.names[kind], Count: count}
	f.Resources.CPUs = r.float()
	f.Resources.GPUs = r.float()
	f.Resources.MemoryGB = r.float()
	f.Resources.DiskGB = r.float()
	f.Samples = r.readSamples()
	return f
}

func (r *summaryReader) readSamples() []availability.Sample {
	n := r.count(r.samplesLeft)
	r.samplesLeft -= n
	from, previousMS := len(r.samples), int64(0)
	for range n {
		previousMS += r.number(-previousMS, maxNumber)
		sample := availability.Sample{TimeMS: previousMS, AvailableMS: r.count(maxNumber)}
		if r.err != nil {
			return nil
		}
		r.samples = append(r.samples, sample)
	}
	to := len(r.samples)
	return r.samples[from:to:to]
}
