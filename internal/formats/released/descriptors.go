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

// Descriptors are the messages and calls of one released format.
type Descriptors struct{ files *protoregistry.Files }

// cache are the descriptors that were cache already.
var cache sync.Map

// Load returns the descriptors of a format. An error means that the build keeps none of it, or that the file is damaged.
func Load(number formats.Number) (*Descriptors, error) {
	if known, is := cache.Load(number); is {
		return known.(*Descriptors), nil
	}
	read, err := load(number)
	if err == nil {
		cache.Store(number, read)
	}
	return read, err
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

// Downgrade returns a message as a process of the format reads it: what that does not know is gone. A message that the
// format does not have is empty.
func (d *Descriptors) Downgrade(message proto.Message) (proto.Message, error) {
	read := message.ProtoReflect().New().Interface()
	candidate, err := d.files.FindDescriptorByName(message.ProtoReflect().Descriptor().FullName())
	if err != nil {
		return read, nil
	}
	descriptor, is := candidate.(protoreflect.MessageDescriptor)
	if !is {
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
	return read, trace.Wrap(proto.Unmarshal(content, read))
}

// ForEachFile calls a function with the descriptors of each file.
func (d *Descriptors) ForEachFile(each func(protoreflect.FileDescriptor)) {
	d.files.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		each(file)
		return true
	})
}
