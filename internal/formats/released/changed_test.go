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

// changedFormat holds the files of a format, which tests change as an incompatible build would.
type changedFormat struct {
	t   *testing.T
	set *descriptorpb.FileDescriptorSet
}

// changed returns the files of a format after a change.
func changed(t *testing.T, released *Descriptors, change func(*changedFormat)) *protoregistry.Files {
	t.Helper()
	format := &changedFormat{t: t, set: &descriptorpb.FileDescriptorSet{}}
	released.ForEachFile(func(each protoreflect.FileDescriptor) {
		format.set.File = append(format.set.File, protodesc.ToFileDescriptorProto(each))
	})
	change(format)
	files, err := (protodesc.FileOptions{AllowUnresolvable: true}).NewFiles(format.set)
	require.NoError(t, err)
	return files
}

func (f *changedFormat) message(name string) *descriptorpb.DescriptorProto {
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

func (f *changedFormat) field(message, name string) *descriptorpb.FieldDescriptorProto {
	f.t.Helper()
	fields := f.message(message).Field
	index := slices.IndexFunc(fields, func(field *descriptorpb.FieldDescriptorProto) bool { return field.GetName() == name })
	require.GreaterOrEqual(f.t, index, 0, "%s has no field %s", message, name)
	return fields[index]
}

func (f *changedFormat) dropField(message, name string) {
	dropped := f.field(message, name)
	changed := f.message(message)
	changed.Field = slices.DeleteFunc(changed.Field, func(field *descriptorpb.FieldDescriptorProto) bool { return field == dropped })
}

func (f *changedFormat) addField(message, name string, number int32) {
	changed := f.message(message)
	changed.ReservedRange = nil
	changed.Field = append(changed.Field, &descriptorpb.FieldDescriptorProto{
		Name: proto.String(name), JsonName: proto.String(name), Number: proto.Int32(number),
		Type: descriptorpb.FieldDescriptorProto_TYPE_UINT64.Enum(), Label: descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(),
	})
}

func (f *changedFormat) repeated() *descriptorpb.FieldDescriptorProto_Label {
	return descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
}

func (f *changedFormat) leaveOneof(message, name string) { f.field(message, name).OneofIndex = nil }

func (f *changedFormat) value(enum string, number int32) *descriptorpb.EnumValueDescriptorProto {
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

func (f *changedFormat) method(name string) *descriptorpb.MethodDescriptorProto {
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
