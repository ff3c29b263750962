package scenario

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// keySet lists the keys that one type of shape or one law of a distribution requires or accepts.
type keySet struct {
	required []string
	optional []string
}

// shapeKeys maps each type of shape to its keys.
var shapeKeys = map[ShapeType]keySet{
	ShapeStep:   {required: []string{"at", "factor"}, optional: []string{"until"}},
	ShapeRamp:   {required: []string{"at", "until", "factor"}},
	ShapeWave:   {required: []string{"period", "amplitude"}, optional: []string{"phase"}},
	ShapeSquare: {required: []string{"period", "low", "high"}, optional: []string{"phase"}},
	ShapeBurst:  {required: []string{"at", "length", "factor"}, optional: []string{"period"}},
	ShapeDaily:  {required: []string{"period", "points"}},
}

var allShapeKeys = []string{"at", "until", "length", "factor", "period", "phase", "amplitude", "low", "high", "points"}

// lawKeys maps each law of a distribution to its keys.
var lawKeys = map[Law]keySet{
	LawFixed:       {required: []string{"value"}},
	LawUniform:     {required: []string{"low", "high"}},
	LawNormal:      {required: []string{"mean", "deviation"}, optional: []string{"low", "high"}},
	LawLogNormal:   {required: []string{"mean", "deviation"}, optional: []string{"low", "high"}},
	LawExponential: {required: []string{"mean"}, optional: []string{"low", "high"}},
}

var allLawKeys = []string{"value", "mean", "deviation", "low", "high"}

// check reports missing keys of a group and keys that its type does not accept. all lists the keys of all types.
func (k keySet) check(document *yamlfile.Document, group, typeName string, all []string) {
	for _, name := range all {
		key := group + "." + name
		required := slices.Contains(k.required, name)
		switch {
		case document.IsSet(key) && !required && !slices.Contains(k.optional, name):
			document.Report(key, fmt.Sprintf("is not a key of %s", typeName), "remove it; keys of "+typeName+" are "+strings.Join(append(slices.Clone(k.required), k.optional...), ", "))
		case !document.IsSet(key) && required:
			document.Report(key, fmt.Sprintf("is missing; %s needs it", typeName), "set it")
		}
	}
}
