package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pistachioford.example/core/control"
	"pistachioford.example/pistachioford/peer/wire"
)

// messages has one of each kind.
func messages() []control.Message {
	return []control.Message{
		&control.Ping{}, &control.Ack{}, &control.PingRequest{}, &control.Gossip{}, &control.Digest{},
		&control.MembersFetch{}, &control.MembersAnswer{}, &control.HeadFetch{}, &control.HeadAnswer{},
		&control.Offer{}, &control.Acknowledgement{}, &control.SectionFetch{}, &control.SectionAnswer{},
		&control.LeaseProbe{}, &control.LeaseProbeAnswer{}, &control.LeaseConfirm{}, &control.LeaseConfirmAnswer{},
		&control.LeaseHandover{}, &control.LeaseHandoverAnswer{}, &control.BlockFetch{}, &control.BlockAnswer{},
	}
}

// fill sets every field to a value that is not its zero value.
func fill(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(3, 4)))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64:
		v.SetInt(3)
	default:
		v.SetUint(3)
	}
}

// Guards against a field of a message that is added to the engine but not to
// the protocol.
func TestEveryFieldIsCarried(t *testing.T) {
	for _, m := range messages() {
		is := is.New(t)
		fill(reflect.ValueOf(m).Elem())
		encoded, err := Encode(m)
		is.NoErr(err)
		bytes, err := proto.Marshal(encoded)
		is.NoErr(err)
		var arrived wire.ControlMessage
		is.NoErr(proto.Unmarshal(bytes, &arrived))
		decoded, err := Decode(&arrived)
		is.NoErr(err)
		is.Equal(decoded, m)
	}
}

// Guards against a crash, or unbounded memory, by what a peer may send.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		fill(reflect.ValueOf(m).Elem())
		encoded, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		bytes, err := proto.Marshal(encoded)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes)
	}
	f.Fuzz(func(t *testing.T, bytes []byte) {
		var message wire.ControlMessage
		if len(bytes) > MaxMessageBytes || proto.Unmarshal(bytes, &message) != nil {
			return
		}
		decoded, err := Decode(&message)
		if err != nil {
			return
		}
		if _, err := Encode(decoded); err != nil {
			t.Fatalf("%T is decoded but cannot be encoded: %v", decoded, err)
		}
	})
}
