package peer

import (
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// SkipValues skips n values. It does not recurse, so that deeply nested values need no stack.
func SkipValues(decoder *msgpack.Decoder, n int) error {
	for ; n > 0; n-- {
		code, err := decoder.PeekCode()
		if err != nil {
			return trace.Wrap(err)
		}
		length := 0
		switch {
		case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
			length, err = decoder.DecodeArrayLen()
		case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
			length, err = decoder.DecodeMapLen()
			length *= 2 // keys and values
		default:
			err = decoder.Skip()
		}
		if err != nil {
			return trace.Wrap(err)
		}
		n += length
	}
	return nil
}
