// Package wire holds the generated protobuf code of the protocol between
// daemons. Generate it from the root of the repository with the plugins
// protoc-gen-go and protoc-gen-go-grpc of the module tools in PATH:
//
//	protoc --go_out=. --go_opt=module=pistachioford.example/pistachioford \
//	  --go-grpc_out=. --go-grpc_opt=module=pistachioford.example/pistachioford \
//	  peer/wire/peer.proto
package wire
