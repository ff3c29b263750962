package released

import (
	"embed"
	"fmt"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/hazelpitch/hazelpitch/internal/formats"
)

//go:embed format-*.binpb
var descriptorSets embed.FS

// Descriptors are the message and service descriptors of one released format.
type Descriptors struct{ files *protoregistry.Files }

// cache holds the descriptors that were loaded already, by format number.
var cache sync.Map

// Load returns the descriptors of a format. It returns an error if this build does not hold them or the file is damaged.
func Load(number formats.Number) (*Descriptors, error) {
	if known, cached := cache.Load(number); cached {
		return known.(*Descriptors), nil
	}
	loaded, err := load(number)
	if err == nil {
		cache.Store(number, loaded)
	}
	return loaded, err
}

func load(number formats.Number) (*Descriptors, error) {
	content, err := descriptorSets.ReadFile(fmt.Sprintf("format-%d.binpb", number))
	if err != nil {
		return nil, trace.NotFound("no descriptors of format %d are kept: %v", number, err)
	}
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(content, set); err != nil {
		return nil, trace.BadParameter("the descriptors of format %d cannot be read: %v", number, err)
	}
	files, err := protodesc.NewFiles(set)
	if err != nil {
		return nil, trace.BadParameter("the descriptors of format %d do not fit together: %v", number, err)
	}
	return &Descriptors{files: files}, nil
}

// Downgrade returns a message as a process of the format decodes it, without the fields that the format does not have. A
// message type that the format does not have is returned empty.
func (d *Descriptors) Downgrade(message proto.Message) (proto.Message, error) {
	downgraded := message.ProtoReflect().New().Interface()
	candidate, err := d.files.FindDescriptorByName(message.ProtoReflect().Descriptor().FullName())
	if err != nil {
		return downgraded, nil
	}
	descriptor, isMessage := candidate.(protoreflect.MessageDescriptor)
	if !isMessage {
		return nil, trace.BadParameter("%s is no message in the format", candidate.FullName())
	}
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	former := dynamicpb.NewMessage(descriptor)
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, former); err != nil {
		return nil, trace.Wrap(err)
	}
	if content, err = proto.Marshal(former); err != nil {
		return nil, trace.Wrap(err)
	}
	return downgraded, trace.Wrap(proto.Unmarshal(content, downgraded))
}

// ForEachFile calls a function with the descriptor of each file.
func (d *Descriptors) ForEachFile(each func(protoreflect.FileDescriptor)) {
	d.files.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		each(file)
		return true
	})
}
