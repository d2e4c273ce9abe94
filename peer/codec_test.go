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

// allMessages returns an empty message of each kind.
func allMessages() []control.Message {
	return []control.Message{
		&control.Ping{}, &control.Ack{}, &control.PingRequest{}, &control.Gossip{}, &control.Digest{},
		&control.MembersFetch{}, &control.MembersAnswer{}, &control.HeadFetch{}, &control.HeadAnswer{},
		&control.Offer{}, &control.Acknowledgement{}, &control.SectionFetch{}, &control.SectionAnswer{},
		&control.LeaseProbe{}, &control.LeaseProbeAnswer{}, &control.LeaseConfirm{}, &control.LeaseConfirmAnswer{},
		&control.LeaseHandover{}, &control.LeaseHandoverAnswer{}, &control.BlockFetch{}, &control.BlockAnswer{},
	}
}

// fillNonZero sets every field to a value that is not its zero value.
func fillNonZero(v reflect.Value) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(3, 4)))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillNonZero(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillNonZero(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillNonZero(v.Index(0))
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

// Guards against a message field that the engine has but the protocol does not
// carry.
func TestCodecCarriesEveryField(t *testing.T) {
	for _, m := range allMessages() {
		is := is.New(t)
		fillNonZero(reflect.ValueOf(m).Elem())
		encoded, err := Encode(m)
		is.NoErr(err)
		bytes, err := proto.Marshal(encoded)
		is.NoErr(err)
		var received wire.ControlMessage
		is.NoErr(proto.Unmarshal(bytes, &received))
		decoded, err := Decode(&received)
		is.NoErr(err)
		is.Equal(decoded, m)
	}
}

// Guards against input from a peer that crashes an instance or uses unbounded
// memory.
func FuzzDecode(f *testing.F) {
	for _, m := range allMessages() {
		fillNonZero(reflect.ValueOf(m).Elem())
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
