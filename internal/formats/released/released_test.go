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

// currentFiles returns the files of this build's protocol.
func currentFiles() *protoregistry.Files {
	files := &protoregistry.Files{}
	protoregistry.GlobalFiles.RangeFilesByPackage(v1.File_hazelpitch_v1_node_proto.Package(), func(file protoreflect.FileDescriptor) bool {
		_ = files.RegisterFile(file) // fails only for duplicate names, which the global registry does not have
		return true
	})
	return files
}

// findIncompatibilities lists the differences because of which a build and the processes of a released format do not
// understand each other's messages and stored data.
func findIncompatibilities(released *Descriptors, build *protoregistry.Files) []string {
	var incompatibilities []string
	released.ForEachFile(func(file protoreflect.FileDescriptor) {
		for index := range file.Messages().Len() {
			incompatibilities = append(incompatibilities, compareMessage(file.Messages().Get(index), build)...)
		}
		for index := range file.Enums().Len() {
			incompatibilities = append(incompatibilities, compareEnum(file.Enums().Get(index), build)...)
		}
		for index := range file.Services().Len() {
			incompatibilities = append(incompatibilities, compareService(file.Services().Get(index), build)...)
		}
	})
	return incompatibilities
}

// compareMessage compares a message of a released format with that of a build. The number of a removed field must be
// reserved, and a field that still exists must have the same name and encoding.
func compareMessage(former protoreflect.MessageDescriptor, build *protoregistry.Files) []string {
	present, err := build.FindDescriptorByName(former.FullName())
	if err != nil {
		return []string{fmt.Sprintf("%s is missing", former.FullName())}
	}
	message := present.(protoreflect.MessageDescriptor)
	var incompatibilities []string
	for index := range former.Fields().Len() {
		field := former.Fields().Get(index)
		next := message.Fields().ByNumber(field.Number())
		switch {
		case next == nil && !message.ReservedRanges().Has(field.Number()):
			incompatibilities = append(incompatibilities, fmt.Sprintf("%s is missing, and its number %d is not reserved", field.FullName(), field.Number()))
		case next == nil:
		case next.Name() != field.Name():
			incompatibilities = append(incompatibilities, fmt.Sprintf("number %d of %s is now the number of %s", field.Number(), field.FullName(), next.Name()))
		case encodingOf(next) != encodingOf(field):
			incompatibilities = append(incompatibilities, fmt.Sprintf("%s is now %s, it was %s", field.FullName(), encodingOf(next), encodingOf(field)))
		}
	}
	for index := range former.ReservedRanges().Len() {
		for number := former.ReservedRanges().Get(index)[0]; number < former.ReservedRanges().Get(index)[1]; number++ {
			if message.Fields().ByNumber(number) != nil {
				incompatibilities = append(incompatibilities, fmt.Sprintf("reserved number %d of %s is used again", number, former.FullName()))
			}
		}
	}
	for index := range former.Messages().Len() {
		incompatibilities = append(incompatibilities, compareMessage(former.Messages().Get(index), build)...)
	}
	return incompatibilities
}

// encodingOf describes what determines how a field is decoded.
func encodingOf(field protoreflect.FieldDescriptor) string {
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

func compareEnum(former protoreflect.EnumDescriptor, build *protoregistry.Files) []string {
	present, err := build.FindDescriptorByName(former.FullName())
	if err != nil {
		return []string{fmt.Sprintf("%s is missing", former.FullName())}
	}
	var incompatibilities []string
	for index := range former.Values().Len() {
		value := former.Values().Get(index)
		if next := present.(protoreflect.EnumDescriptor).Values().ByNumber(value.Number()); next == nil || next.Name() != value.Name() {
			incompatibilities = append(incompatibilities, fmt.Sprintf("%s of %s is missing, or its number is used for another value", value.Name(), former.FullName()))
		}
	}
	return incompatibilities
}

func compareService(former protoreflect.ServiceDescriptor, build *protoregistry.Files) []string {
	present, err := build.FindDescriptorByName(former.FullName())
	if err != nil {
		return []string{fmt.Sprintf("%s is missing", former.FullName())}
	}
	var incompatibilities []string
	for index := range former.Methods().Len() {
		method := former.Methods().Get(index)
		next := present.(protoreflect.ServiceDescriptor).Methods().ByName(method.Name())
		if next == nil || next.Input().FullName() != method.Input().FullName() || next.Output().FullName() != method.Output().FullName() {
			incompatibilities = append(incompatibilities, fmt.Sprintf("call %s is missing, or its request or response has another type", method.FullName()))
		}
	}
	return incompatibilities
}

// This build understands the messages of each released format, and processes of that format understand those of this build.
func TestReleasedFormatsAreUnderstood(t *testing.T) {
	for number := formats.First; number <= formats.Newest; number++ {
		released, err := Load(number)
		require.NoError(t, err)
		require.Empty(t, findIncompatibilities(released, currentFiles()), "format %d", number)
	}
}

// The descriptors of the newest format must equal this build's protocol. A change of the protocol needs a new format with a
// number in internal/formats or, while the newest format is not released, an update of its file by `go generate ./api`.
func TestTheNewestFormatIsKept(t *testing.T) {
	released, err := Load(formats.Newest)
	require.NoError(t, err)
	released.ForEachFile(func(file protoreflect.FileDescriptor) {
		present, err := currentFiles().FindFileByPath(file.Path())
		require.NoError(t, err)
		require.True(t, proto.Equal(protodesc.ToFileDescriptorProto(file), protodesc.ToFileDescriptorProto(present)), file.Path())
	})
	currentFiles().RangeFiles(func(file protoreflect.FileDescriptor) bool {
		_, err := released.files.FindFileByPath(file.Path())
		require.NoError(t, err, "the descriptors of the newest format are missing a file")
		return true
	})
}

// Each command has a format, is in the descriptors of that format and of later ones, and in none of those before.
func TestCommandsHaveTheFormatThatAddedThem(t *testing.T) {
	bodies := (&v1.Command{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for index := range bodies.Len() {
		command := &v1.Command{}
		field := bodies.Get(index)
		command.ProtoReflect().Set(field, command.ProtoReflect().NewField(field))
		number, known := formats.CommandFormat(command)
		require.True(t, known, "%s has no format in internal/formats", field.Name())
		for each := formats.First; each <= formats.Newest; each++ {
			released, err := Load(each)
			require.NoError(t, err)
			read, err := released.Downgrade(command)
			require.NoError(t, err)
			require.Equal(t, each >= number, read.(*v1.Command).GetBody() != nil, "%s in format %d", field.Name(), each)
		}
	}
}

// The comparison detects a build in which a message, field, type or value of the released format has changed or is missing.
func TestIncompatibilitiesAreFound(t *testing.T) {
	released, err := Load(formats.First)
	require.NoError(t, err)
	for name, change := range map[string]func(*changedFormat){
		"a field whose number changes":          func(f *changedFormat) { f.field("Document", "number").Number = proto.Int32(99) },
		"a field whose type changes":            func(f *changedFormat) { f.field("Document", "number").Type = f.field("Document", "content").Type },
		"a field that is gone":                  func(f *changedFormat) { f.dropField("Document", "content") },
		"a number that is another field's":      func(f *changedFormat) { f.field("Document", "content").Name = proto.String("other") },
		"a field that is repeated":              func(f *changedFormat) { f.field("Document", "number").Label = f.repeated() },
		"a message that is gone":                func(f *changedFormat) { f.message("EngineWork").Name = proto.String("Other") },
		"a value that is another one's":         func(f *changedFormat) { f.value("PlacementPurpose", 1).Name = proto.String("OTHER") },
		"a call that is gone":                   func(f *changedFormat) { f.method("Watch").Name = proto.String("Other") },
		"a reserved number that is used again":  func(f *changedFormat) { f.addField("WatchResponse", "again", 1) },
		"a field that moves into another group": func(f *changedFormat) { f.leaveOneof("Command", "put_document") },
	} {
		t.Run(name, func(t *testing.T) {
			require.NotEmpty(t, findIncompatibilities(released, changed(t, released, change)))
		})
	}
	require.Empty(t, findIncompatibilities(released, changed(t, released, func(*changedFormat) {})))
}
