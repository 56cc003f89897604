// Package operatorpb holds the messages of the operators' interface and its
// connect client and server stubs, all generated from operator.proto.
package operatorpb

//go:generate protoc --go_out=.. --go_opt=module=github.com/bergamotdale/bergamotdale --connect-go_out=.. --connect-go_opt=module=github.com/bergamotdale/bergamotdale,package_suffix -I . operator.proto
