package released

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
)

// changedFile are the files of a format, to be changed as a careless build would.
type changedFile struct {
	t   *testing.T
	set *descriptorpb.FileDescriptorSet
}

// changed returns the files of a format after a change.
func changed(t *testing.T, kept *Descriptors, change func(*changedFile)) *protoregistry.Files {
	t.Helper()
	file := &changedFile{t: t, set: &descriptorpb.FileDescriptorSet{}}
	kept.ForEachFile(func(each protoreflect.FileDescriptor) {
		file.set.File = append(file.set.File, protodesc.ToFileDescriptorProto(each))
	})
	change(file)
	files, err := (protodesc.FileOptions{AllowUnresolvable: true}).NewFiles(file.set)
	require.NoError(t, err)
	return files
}

func (f *changedFile) message(name string) *descriptorpb.DescriptorProto {
	f.t.Helper()
	for _, file := range f.set.File {
		for _, message := range file.MessageType {
			if message.GetName() == name {
				return message
			}
		}
	}
	f.t.Fatalf("there is no message %s", name)
	return nil
}

func (f *changedFile) field(message, name string) *descriptorpb.FieldDescriptorProto {
	f.t.Helper()
	fields := f.message(message).Field
	index := slices.IndexFunc(fields, func(field *descriptorpb.FieldDescriptorProto) bool { return field.GetName() == name })
	require.GreaterOrEqual(f.t, index, 0, "%s has no field %s", message, name)
	return fields[index]
}

func (f *changedFile) dropField(message, name string) {
	dropped := f.field(message, name)
	changed := f.message(message)
	changed.Field = slices.DeleteFunc(changed.Field, func(field *descriptorpb.FieldDescriptorProto) bool { return field == dropped })
}

func (f *changedFile) addField(message, name string, number int32) {
	changed := f.message(message)
	changed.ReservedRange = nil
	changed.Field = append(changed.Field, &descriptorpb.FieldDescriptorProto{
		Name: proto.String(name), JsonName: proto.String(name), Number: proto.Int32(number),
		Type: descriptorpb.FieldDescriptorProto_TYPE_UINT64.Enum(), Label: descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(),
	})
}

func (f *changedFile) repeated() *descriptorpb.FieldDescriptorProto_Label {
	return descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
}

func (f *changedFile) leaveOneof(message, name string) { f.field(message, name).OneofIndex = nil }

func (f *changedFile) value(enum string, number int32) *descriptorpb.EnumValueDescriptorProto {
	for _, file := range f.set.File {
		for _, each := range file.EnumType {
			if each.GetName() == enum {
				return each.Value[number]
			}
		}
	}
	f.t.Fatalf("there is no enum %s", enum)
	return nil
}

func (f *changedFile) method(name string) *descriptorpb.MethodDescriptorProto {
	for _, file := range f.set.File {
		for _, service := range file.Service {
			for _, method := range service.Method {
				if method.GetName() == name {
					return method
				}
			}
		}
	}
	f.t.Fatalf("there is no call %s", name)
	return nil
}
