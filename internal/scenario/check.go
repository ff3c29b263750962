package scenario

import (
	"fmt"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// check reports keys that are valid one by one but not in combination.
func check(document *yamlfile.Document, read *Scenario) {
	checkDuplicates(document, "zones", read.zoneNames())
	checkDuplicates(document, "services", read.serviceNames())
	checkDuplicates(document, "kinds", read.kindNames())
	checkCallers(document, read)
	for index, service := range read.Services {
		checkService(document, read, service, fmt.Sprintf("services[%d]", index))
	}
	for index, kind := range read.Kinds {
		checkKind(document, read, kind, fmt.Sprintf("kinds[%d]", index))
	}
	engines := read.Engines()
	for index, fault := range read.Faults {
		checkFault(document, read, engines, fault, fmt.Sprintf("faults[%d]", index))
	}
}

func checkCallers(document *yamlfile.Document, read *Scenario) {
	total := 0.0
	for _, zone := range read.Zones {
		total += zone.CallerWeight
	}
	if len(read.Zones) > 0 && total <= 0 {
		document.Report("zones", "no zone has callers", "give one a caller_weight above zero")
	}
}

func checkKind(document *yamlfile.Document, read *Scenario, kind Kind, key string) {
	checkName(document, key+".service", kind.Service, read.serviceNames())
	checkDistribution(document, kind.PromptTokens, key+".prompt_tokens")
	checkDistribution(document, kind.OutputTokens, key+".output_tokens")
	if kind.Prefix.Share > 0 && kind.Prefix.Subjects == 0 {
		document.Report(key+".prefix.subjects", "is missing, and share is above 0", "set the number of different beginnings")
	}
	if kind.Arrivals.Process != ProcessBursts && kind.Arrivals.BurstSize > 1 {
		document.Report(key+".arrivals.burst_size", "belongs to process bursts", "set process: bursts or remove it")
	}
	if kind.Arrivals.Rate == 0 && read.Trace.File == "" {
		document.Report(key+".arrivals", "sends nothing", "set a rate above zero, or trace.file")
	}
	for index, shape := range kind.Mix {
		checkShape(document, shape, fmt.Sprintf("%s.mix[%d]", key, index))
	}
}

func checkDistribution(document *yamlfile.Document, distribution Distribution, key string) {
	keys, known := lawKeys[distribution.Law]
	if !known {
		return // the rule for the key law has reported it
	}
	keys.check(document, key, "law "+string(distribution.Law), allLawKeys)
	if distribution.High > 0 && distribution.Low > distribution.High {
		document.Report(key+".low", fmt.Sprintf("%d is above high, %d", distribution.Low, distribution.High), "write low <= high")
	}
}

func checkShape(document *yamlfile.Document, shape Shape, key string) {
	keys, known := shapeKeys[shape.Shape]
	if !known {
		return // the rule for the key shape has reported it
	}
	keys.check(document, key, "shape "+string(shape.Shape), allShapeKeys)
	if document.IsSet(key+".until") && shape.Until <= shape.At {
		document.Report(key+".until", fmt.Sprintf("%v is not after at, %v", shape.Until, shape.At), "write a time after at")
	}
	if shape.Shape == ShapeBurst && document.IsSet(key+".period") && shape.Period < shape.Length {
		document.Report(key+".period", fmt.Sprintf("%v is shorter than length, %v", shape.Period, shape.Length), "write a period of at least length")
	}
	if shape.Shape == ShapeDaily {
		checkPoints(document, shape, key)
	}
}

func checkPoints(document *yamlfile.Document, shape Shape, key string) {
	if document.IsSet(key+".points") && len(shape.Points) == 0 {
		document.Report(key+".points", "is empty", "write at least one point with at and factor")
	}
	for index, point := range shape.Points {
		place := fmt.Sprintf("%s.points[%d]", key, index)
		if point.At >= shape.Period {
			document.Report(place+".at", fmt.Sprintf("%v is not within the period, %v", point.At, shape.Period), "write a time before the period's end")
		}
		if index > 0 && point.At <= shape.Points[index-1].At {
			document.Report(place+".at", fmt.Sprintf("%v is not after the point before it", point.At), "write the points in order of time")
		}
	}
}

func checkFault(document *yamlfile.Document, read *Scenario, engines []Engine, fault Fault, key string) {
	if fault.At >= read.Duration {
		document.Report(key+".at", fmt.Sprintf("%v is not before the end, %v", fault.At, read.Duration), "write a time before duration")
	}
	checkName(document, key+".service", fault.Service, read.serviceNames())
	checkName(document, key+".zone", fault.Zone, read.zoneNames())
	checkName(document, key+".engine", fault.Engine, namesOf(engines, func(engine Engine) string { return engine.Name }))
	if fault.Length == 0 && fault.Fault != FaultEngineCrash {
		document.Report(key+".length", fmt.Sprintf("is missing; %s needs it", fault.Fault), "set how long it lasts, such as 30s")
	}
	ofPlanner := fault.Fault == FaultPlannerCrash || fault.Fault == FaultPlannerPause
	if ofPlanner && (fault.Zone != "" || fault.Engine != "" || fault.Count > 0) {
		document.Report(key, fmt.Sprintf("%s strikes no engine", fault.Fault), "remove zone, engine and count")
	}
	if !ofPlanner && len(fault.Targets(engines)) == 0 {
		document.Report(key, "strikes no engine", "choose a service, zone and engine that belong together")
	}
}
