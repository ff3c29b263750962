package language

import (
	"errors"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func sourceFiles(text string) []*v1.SourceFile {
	return []*v1.SourceFile{{Name: "a.hzl", Text: text}}
}

func requireEqualObjects(t require.TestingT, want, got []*v1.Object) {
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "object %d: want %v, got %v", i, want[i], got[i])
	}
}

func TestParseDeclarationsReadsUnitsAndDefaults(t *testing.T) {
	objects, err := ParseDeclarations(sourceFiles(`
		# One of each shape.
		kind matching { service = motor; worth = 2.5; deadline = 1.5s; protected = true
		                expected_prompt_tokens = 6000 tokens; priority = -3 }
		model m { version = "2"; weights = 60GiB }
		tenant "minera.sur" { tokens_per_second = 20000 tokens/s; concurrency = 64 }
		bound b { service = motor; role = prefill; minimum = 2 engines }
		pin motor-3 { role = decode }
	`))
	require.NoError(t, err)
	requireEqualObjects(t, []*v1.Object{
		{Key: objectKey(v1.ObjectType_OBJECT_TYPE_TENANT, "minera.sur"), Spec: &v1.Object_Tenant{Tenant: &v1.Tenant{Weight: 1, TokensPerSecond: 20000, Concurrency: 64}}},
		{Key: objectKey(v1.ObjectType_OBJECT_TYPE_KIND, "matching"), Spec: &v1.Object_Kind{Kind: &v1.Kind{Service: "motor", Worth: 2.5, DeadlineMs: 1500, Protected: true, ExpectedPromptTokens: 6000, Priority: -3}}},
		{Key: objectKey(v1.ObjectType_OBJECT_TYPE_MODEL, "m"), Spec: &v1.Object_Model{Model: &v1.Model{Version: "2", WeightBytes: 60 << 30}}},
		{Key: objectKey(v1.ObjectType_OBJECT_TYPE_BOUND, "b"), Spec: &v1.Object_Bound{Bound: &v1.Bound{Service: "motor", Role: v1.Role_ROLE_PREFILL, Minimum: 2, MaximumOut: 1}}},
		{Key: objectKey(v1.ObjectType_OBJECT_TYPE_PIN, "motor-3"), Spec: &v1.Object_Pin{Pin: &v1.Pin{Engine: "motor-3", Role: v1.Role_ROLE_DECODE}}},
	}, objects)
}

func objectKey(objectType v1.ObjectType, name string) *v1.ObjectKey {
	return &v1.ObjectKey{Type: objectType, Name: name}
}

func TestParseDeclarationsReportsPositionAndExpectedInput(t *testing.T) {
	hash := strings.Repeat("a", 64)
	tests := map[string]struct{ text, want string }{
		"unknown type":       {"tennant a {}", `a.hzl:1:1: unknown declaration "tennant": expected tenant, kind, model, adapter, service, bound, pin, policy or operator; did you mean "tenant"?`},
		"unknown field":      {"tenant a {\n  wieght = 2\n}", `a.hzl:2:3: unknown field of tenant "wieght": expected api_key_hashes, weight, tokens_per_second, concurrency or models; did you mean "weight"?`},
		"unknown unit":       {"kind a { service = s; deadline = 2sec }", `a.hzl:1:34: unknown unit "sec": expected ms, s, min or h; did you mean "s"?`},
		"missing unit":       {"kind a { service = s; deadline = 2 }", `a.hzl:1:34: 2 lacks a unit: expected a duration such as 2s or 300ms, with unit ms, s, min or h`},
		"unexpected unit":    {"tenant a { weight = 2s }", `a.hzl:1:21: 2s has a unit: expected a whole number without one`},
		"fraction":           {"kind a { service = s; deadline = 0.5ms }", `a.hzl:1:34: 0.5ms is not a whole number of the smallest unit: expected a duration such as 2s or 300ms`},
		"too large":          {"tenant a { concurrency = 5000000000 }", `a.hzl:1:26: 5000000000 is out of range: expected a number of requests such as 64 requests from 0 to 4294967295 requests`},
		"negative":           {"tenant a { tokens_per_second = -1 tokens/s }", `a.hzl:1:32: -1 tokens/s is out of range: expected a rate such as 20000 tokens/s from 0 to 18446744073709551615 tokens/s`},
		"too small":          {"tenant a { weight = 0 }", `a.hzl:1:21: weight is too small: expected 1 or more`},
		"unknown role":       {"pin a { role = decoder }", `a.hzl:1:16: unknown value "decoder": expected prefill, decode or mixed; did you mean "decode"?`},
		"not a boolean":      {"kind a { service = s; deadline = 1s; repeatable = yes }", `a.hzl:1:51: yes is not valid here: expected true or false`},
		"scalar for list":    {`tenant a { models = m }`, `a.hzl:1:21: models takes a list: expected [ ... ] of a name`},
		"list for scalar":    {`tenant a { weight = [1] }`, `a.hzl:1:21: weight takes one value: expected a whole number`},
		"listed twice":       {`tenant a { models = [m, m] }`, `a.hzl:1:25: m is listed twice`},
		"not a hash":         {`tenant a { api_key_hashes = ["secret"] }`, `a.hzl:1:30: "secret" is not valid here: expected a SHA-256 hash as 64 hexadecimal digits in quotes`},
		"field twice":        {"tenant a {\n weight = 1\n weight = 2 }", `a.hzl:3:2: weight is given twice: first at line 2`},
		"object twice":       {"tenant a {}\ntenant \"a\" {}", `a.hzl:2:1: tenant a is declared twice: first at a.hzl:1:1`},
		"missing field":      {`operator ana { key_hash = "` + hash + `" }`, `a.hzl:1:1: operator ana lacks role: expected role = an operator's role: viewer, operator or administrator`},
		"bad name":           {`tenant "a b" {}`, `a.hzl:1:8: "a b" is not a name: expected letters, digits, '.', '_' and '-', 128 at most`},
		"missing brace":      {"tenant a {\n weight = 1\n", `a.hzl:3:1: unexpected end of text: expected "}"`},
		"missing equals":     {"tenant a { weight 1 }", `a.hzl:1:19: unexpected "1": expected "=" and a value`},
		"stray character":    {"tenant a { weight = ? }", `a.hzl:1:21: invalid input text "? }"`},
		"unknown escape":     {`model a { version = "\q" }`, `a.hzl:1:21: "\q" is not a valid text: expected UTF-8 with the escapes of Go strings`},
		"several, in order":  {"tenant a { weight = x }\npin b {}", "a.hzl:1:21: x is not a number: expected a whole number\na.hzl:2:1: pin b lacks role: expected role = a role: prefill, decode or mixed"},
		"number for a text":  {"model a { version = 3 }", `a.hzl:1:21: 3 is not valid here: expected a version in quotes`},
		"path without slash": {`kind a { service = s; deadline = 1s; path = "avisos" }`, `a.hzl:1:45: "avisos" is not valid here: expected a path prefix such as "/avisos"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseDeclarations(sourceFiles(test.text))
			require.Error(t, err)
			require.True(t, trace.IsBadParameter(err))
			var mistakes Errors
			require.True(t, errors.As(err, &mistakes))
			require.Equal(t, test.want, mistakes.Error())
		})
	}
}

// objectsGenerator generates valid objects of every type from the schemas.
func objectsGenerator() *rapid.Generator[[]*v1.Object] {
	return rapid.Custom(func(t *rapid.T) []*v1.Object {
		drawn := map[string]bool{}
		var objects []*v1.Object
		for range rapid.IntRange(0, 6).Draw(t, "count") {
			schema := rapid.SampledFrom(schemas).Draw(t, "schema")
			name := rapid.StringMatching(`[A-Za-z0-9_][A-Za-z0-9_.-]{0,12}`).Draw(t, "name")
			object := &v1.Object{Key: objectKey(schema.objectType, name)}
			if drawn[FormatKey(object.Key)] {
				continue
			}
			drawn[FormatKey(object.Key)] = true
			message := schema.message(object, true)
			if schema.nameField != nil {
				message.Set(schema.nameField, protoreflect.ValueOfString(name))
			}
			for _, field := range schema.fields {
				drawField(t, field, message)
			}
			objects = append(objects, object)
		}
		SortObjects(objects)
		return objects
	})
}

func drawField(t *rapid.T, field *fieldSchema, message protoreflect.Message) {
	if !field.required && rapid.Bool().Draw(t, "standard") {
		field.setDefault(message)
		return
	}
	if field.proto.IsList() {
		list := message.Mutable(field.proto).List()
		for _, item := range rapid.SliceOfNDistinct(rapid.StringMatching(textPattern(field)), 0, 3, rapid.ID).Draw(t, field.name) {
			list.Append(protoreflect.ValueOfString(item))
		}
		return
	}
	message.Set(field.proto, drawScalar(t, field))
}

func drawScalar(t *rapid.T, field *fieldSchema) protoreflect.Value {
	switch field.proto.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.StringMatching(textPattern(field)).Draw(t, field.name))
	case protoreflect.EnumKind:
		words := field.codec.(enumCodec).names
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(rapid.IntRange(1, len(words)).Draw(t, field.name)))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, field.name))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rapid.Float64Range(0, maximumDecimal).Draw(t, field.name) + 0)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(rapid.Int32().Draw(t, field.name))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(rapid.Uint32Min(uint32(field.minimum)).Draw(t, field.name))
	default:
		return protoreflect.ValueOfUint64(rapid.Uint64Min(field.minimum).Draw(t, field.name))
	}
}

func textPattern(field *fieldSchema) string {
	pattern := field.codec.(textCodec).pattern.String()
	return strings.TrimSuffix(strings.TrimPrefix(pattern, "^"), "$")
}

func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := objectsGenerator().Draw(t, "objects")
		text := Format(objects)
		parsed, err := ParseDeclarations(sourceFiles(text))
		require.NoError(t, err, text)
		requireEqualObjects(t, objects, parsed)
		require.Equal(t, text, Format(parsed))
	})
}

func TestDiffOfEqualObjectsIsEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := objectsGenerator().Draw(t, "before")
		after := objectsGenerator().Draw(t, "after")
		require.Empty(t, DiffObjects(before, before, true))
		pruned := DiffObjects(before, after, true)
		require.Equal(t, len(pruned) == 0, Format(before) == Format(after))
	})
}

func TestDiffObjects(t *testing.T) {
	before, err := ParseDeclarations(sourceFiles("tenant a { weight = 2 }\ntenant b {}\nmodel m { version = \"1\" }"))
	require.NoError(t, err)
	before[0].GetTenant().CacheSalt = "not declared"
	after, err := ParseDeclarations(sourceFiles("tenant a { weight = 3 }\nmodel m { version = \"1\" }\nmodel n { version = \"1\"; weights = 1GiB }"))
	require.NoError(t, err)
	describe := func(differences []*v1.Difference) (lines []string) {
		for _, difference := range differences {
			line := difference.GetType().String() + " " + FormatKey(difference.GetKey())
			for _, field := range difference.GetFields() {
				line += " " + field.GetField() + ":" + field.GetBefore() + ">" + field.GetAfter()
			}
			lines = append(lines, strings.TrimPrefix(line, "DIFFERENCE_TYPE_"))
		}
		return lines
	}
	require.Equal(t, []string{"CHANGE tenant a weight:2>3", `ADD model n version:>"1" weights:>1GiB`}, describe(DiffObjects(before, after, false)))
	require.Equal(t, []string{"CHANGE tenant a weight:2>3", "DELETE tenant b", `ADD model n version:>"1" weights:>1GiB`}, describe(DiffObjects(before, after, true)))
}

func TestCheckFilesReportsPositionOfBrokenReference(t *testing.T) {
	declarations := "service motor { type = engine; model = emparejo }\nmodel emparejo { version = \"1\" }\nservice portal { type = page }\n"
	hash := strings.Repeat("a", 64)
	tests := map[string]struct{ text, want string }{
		"unknown service":       {"kind k {\n  service = moter\n  deadline = 1s\n}", `a.hzl:5:13: service names service moter, which is not declared; did you mean "motor"?`},
		"unknown in list":       {"tenant t { models = [emparejo, lista] }", `a.hzl:4:21: models names model lista, which is not declared`},
		"page without path":     {"kind k { service = portal; deadline = 1s }", `a.hzl:4:1: a kind of the page service portal needs a path`},
		"engine with path":      {`kind k { service = motor; deadline = 1s; path = "/a" }`, `a.hzl:4:49: a kind of the engine service motor has no path: callers name it by header`},
		"engine without model":  {"service s { type = engine }", `a.hzl:4:1: an engine service needs a model`},
		"page with model":       {"service s { type = page; model = emparejo }", `a.hzl:4:34: a page service has no model`},
		"bound on pages":        {"bound b { service = portal; role = mixed }", `a.hzl:4:21: service portal has no engines`},
		"maximum below minimum": {"bound b { service = motor; role = mixed; minimum = 3; maximum = 2 }", `a.hzl:4:65: maximum 2 is below minimum 3`},
		"shared path":           {`kind k { service = portal; deadline = 1s; path = "/a" } kind l { service = portal; deadline = 1s; path = "/a" }`, `a.hzl:4:106: path is already that of kind k`},
		"shared key":            {`tenant t { api_key_hashes = ["` + hash + `"] } tenant u { api_key_hashes = ["` + hash + `"] }`, `is already that of tenant t`},
		"two policies":          {"policy p { service = motor } policy q { service = motor }", `a.hzl:4:51: policy of service is already that of policy p`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := CheckFiles(sourceFiles(declarations + test.text))
			require.True(t, trace.IsBadParameter(err))
			require.Contains(t, trace.Unwrap(err).Error(), test.want)
		})
	}
	objects, err := CheckFiles(sourceFiles(declarations))
	require.NoError(t, err)
	require.NoError(t, CheckReferences(objects))
	require.True(t, trace.IsBadParameter(CheckReferences(objects[1:])))
}

func FuzzParseDeclarations(f *testing.F) {
	f.Add("tenant a { weight = 3; models = [m, \"n\"] }")
	f.Add("kind k { service = s; deadline = 300ms; path = \"/a\" } # end")
	f.Fuzz(func(t *testing.T, text string) {
		objects, err := ParseDeclarations(sourceFiles(text))
		if err != nil {
			require.True(t, trace.IsBadParameter(err))
			return
		}
		again, err := ParseDeclarations(sourceFiles(Format(objects)))
		require.NoError(t, err)
		requireEqualObjects(t, objects, again)
	})
}
