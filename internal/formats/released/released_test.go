package released

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
)

// own are the files of this build's protocol.
func own() *protoregistry.Files {
	files := &protoregistry.Files{}
	protoregistry.GlobalFiles.RangeFilesByPackage(v1.File_hazelpitch_v1_node_proto.Package(), func(file protoreflect.FileDescriptor) bool {
		_ = files.RegisterFile(file) // no name stands twice in the registry of this process
		return true
	})
	return files
}

// differences are the ways in which a build does not understand what processes of a released format tell and keep, or
// is not understood by them.
func differences(released *Descriptors, build *protoregistry.Files) []string {
	var found []string
	released.ForEachFile(func(file protoreflect.FileDescriptor) {
		for index := range file.Messages().Len() {
			found = append(found, ofMessage(file.Messages().Get(index), build)...)
		}
		for index := range file.Enums().Len() {
			found = append(found, ofEnum(file.Enums().Get(index), build)...)
		}
		for index := range file.Services().Len() {
			found = append(found, ofService(file.Services().Get(index), build)...)
		}
	})
	return found
}

// ofMessage compares a message: a field that is gone must leave its number and its name reserved, and one that is there
// must be read as before.
func ofMessage(former protoreflect.MessageDescriptor, build *protoregistry.Files) []string {
	present, err := build.FindDescriptorByName(former.FullName())
	if err != nil {
		return []string{fmt.Sprintf("%s is gone", former.FullName())}
	}
	message := present.(protoreflect.MessageDescriptor)
	var found []string
	for index := range former.Fields().Len() {
		field := former.Fields().Get(index)
		next := message.Fields().ByNumber(field.Number())
		switch {
		case next == nil && !message.ReservedRanges().Has(field.Number()):
			found = append(found, fmt.Sprintf("%s is gone, and its number %d is not reserved", field.FullName(), field.Number()))
		case next == nil:
		case next.Name() != field.Name():
			found = append(found, fmt.Sprintf("the number %d of %s is that of %s now", field.Number(), field.FullName(), next.Name()))
		case typeOf(next) != typeOf(field):
			found = append(found, fmt.Sprintf("%s is %s now, it was %s", field.FullName(), typeOf(next), typeOf(field)))
		}
	}
	for index := range former.ReservedRanges().Len() {
		for number := former.ReservedRanges().Get(index)[0]; number < former.ReservedRanges().Get(index)[1]; number++ {
			if message.Fields().ByNumber(number) != nil {
				found = append(found, fmt.Sprintf("the number %d of %s was another field's", number, former.FullName()))
			}
		}
	}
	for index := range former.Messages().Len() {
		found = append(found, ofMessage(former.Messages().Get(index), build)...)
	}
	return found
}

// typeOf is what decides how a field is read.
func typeOf(field protoreflect.FieldDescriptor) string {
	name := fmt.Sprint(field.Cardinality(), " ", field.Kind())
	if message := field.Message(); message != nil {
		name += " " + string(message.FullName())
	}
	if enum := field.Enum(); enum != nil {
		name += " " + string(enum.FullName())
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		name += " of " + string(oneof.Name())
	}
	return name
}

func ofEnum(former protoreflect.EnumDescriptor, build *protoregistry.Files) []string {
	present, err := build.FindDescriptorByName(former.FullName())
	if err != nil {
		return []string{fmt.Sprintf("%s is gone", former.FullName())}
	}
	var found []string
	for index := range former.Values().Len() {
		value := former.Values().Get(index)
		if next := present.(protoreflect.EnumDescriptor).Values().ByNumber(value.Number()); next == nil || next.Name() != value.Name() {
			found = append(found, fmt.Sprintf("%s of %s is gone, or its number is another value's", value.Name(), former.FullName()))
		}
	}
	return found
}

func ofService(former protoreflect.ServiceDescriptor, build *protoregistry.Files) []string {
	present, err := build.FindDescriptorByName(former.FullName())
	if err != nil {
		return []string{fmt.Sprintf("%s is gone", former.FullName())}
	}
	var found []string
	for index := range former.Methods().Len() {
		method := former.Methods().Get(index)
		next := present.(protoreflect.ServiceDescriptor).Methods().ByName(method.Name())
		if next == nil || next.Input().FullName() != method.Input().FullName() || next.Output().FullName() != method.Output().FullName() {
			found = append(found, fmt.Sprintf("the call %s is gone, or takes or answers something else", method.FullName()))
		}
	}
	return found
}

// Each released format is understood by this build, and understands of it what it knew.
func TestReleasedFormatsAreUnderstood(t *testing.T) {
	for number := formats.First; number <= formats.Newest; number++ {
		kept, err := Load(number)
		require.NoError(t, err)
		require.Empty(t, differences(kept, own()), "format %d", number)
	}
}

// What the newest format has is kept: a change of it is a new format, with a number of its own in internal/formats, or,
// where nobody has it yet, written to the kept file by `go generate ./api`.
func TestTheNewestFormatIsKept(t *testing.T) {
	kept, err := Load(formats.Newest)
	require.NoError(t, err)
	kept.ForEachFile(func(file protoreflect.FileDescriptor) {
		present, err := own().FindFileByPath(file.Path())
		require.NoError(t, err)
		require.True(t, proto.Equal(protodesc.ToFileDescriptorProto(file), protodesc.ToFileDescriptorProto(present)), file.Path())
	})
	own().RangeFiles(func(file protoreflect.FileDescriptor) bool {
		_, err := kept.files.FindFileByPath(file.Path())
		require.NoError(t, err, "the kept format lacks a file")
		return true
	})
}

// Each command has a format, and is in the descriptors of that format and in none of those before.
func TestCommandsHaveTheFormatThatAddedThem(t *testing.T) {
	bodies := (&v1.Command{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for index := range bodies.Len() {
		command := &v1.Command{}
		field := bodies.Get(index)
		command.ProtoReflect().Set(field, command.ProtoReflect().NewField(field))
		number, known := formats.CommandFormat(command)
		require.True(t, known, "%s has no format in internal/formats", field.Name())
		for each := formats.First; each <= formats.Newest; each++ {
			kept, err := Load(each)
			require.NoError(t, err)
			read, err := kept.Downgrade(command)
			require.NoError(t, err)
			require.Equal(t, each >= number, read.(*v1.Command).GetBody() != nil, "%s in format %d", field.Name(), each)
		}
	}
}

// The comparison finds what it is for: a build without a message, a field, a type or a value of the released format.
func TestDifferencesAreFound(t *testing.T) {
	kept, err := Load(formats.First)
	require.NoError(t, err)
	for name, change := range map[string]func(*changedFile){
		"a field whose number changes":          func(f *changedFile) { f.field("Document", "number").Number = proto.Int32(99) },
		"a field whose type changes":            func(f *changedFile) { f.field("Document", "number").Type = f.field("Document", "content").Type },
		"a field that is gone":                  func(f *changedFile) { f.dropField("Document", "content") },
		"a number that is another field's":      func(f *changedFile) { f.field("Document", "content").Name = proto.String("other") },
		"a field that is repeated":              func(f *changedFile) { f.field("Document", "number").Label = f.repeated() },
		"a message that is gone":                func(f *changedFile) { f.message("EngineWork").Name = proto.String("Other") },
		"a value that is another one's":         func(f *changedFile) { f.value("PlacementPurpose", 1).Name = proto.String("OTHER") },
		"a call that is gone":                   func(f *changedFile) { f.method("Watch").Name = proto.String("Other") },
		"a reserved number that is used again":  func(f *changedFile) { f.addField("WatchResponse", "again", 1) },
		"a field that moves into another group": func(f *changedFile) { f.leaveOneof("Command", "put_document") },
	} {
		t.Run(name, func(t *testing.T) {
			require.NotEmpty(t, differences(kept, changed(t, kept, change)))
		})
	}
	require.Empty(t, differences(kept, changed(t, kept, func(*changedFile) {})))
}
