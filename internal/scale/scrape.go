package scale

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	scrapeTimeout = 5 * time.Second
	leaderMetric  = "hazelpitch_controller_leader"
	leaderPoll    = 50 * time.Millisecond
)

// scrape is one reading of a controller's metrics.
type scrape map[string]*dto.MetricFamily

// scrapeController reads a controller's metrics.
func (f *Fleet) scrapeController(ctx context.Context, controller int) (scrape, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Plan.ControllerAdmin(controller)+metrics.PathMetrics, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := f.scraper.Do(request)
	if err != nil {
		return nil, trace.Wrap(err, "metrics of %s", ControllerName(controller))
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	return families, trace.Wrap(err, "metrics of %s", ControllerName(controller))
}

// sum adds up a family's values whose labels include the given ones, as name, value.
func (s scrape) sum(family string, labels ...string) float64 {
	total := 0.0
	for _, metric := range s[family].GetMetric() {
		if hasLabels(metric, labels) {
			total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue() + metric.GetHistogram().GetSampleSum()
		}
	}
	return total
}

// byLabel lists a family's values by one label.
func (s scrape) byLabel(family, label string) map[string]float64 {
	values := map[string]float64{}
	for _, metric := range s[family].GetMetric() {
		for _, pair := range metric.GetLabel() {
			if pair.GetName() == label {
				values[pair.GetValue()] += metric.GetCounter().GetValue()
			}
		}
	}
	return values
}

func hasLabels(metric *dto.Metric, labels []string) bool {
	for position := 0; position+1 < len(labels); position += 2 {
		found := false
		for _, pair := range metric.GetLabel() {
			found = found || (pair.GetName() == labels[position] && pair.GetValue() == labels[position+1])
		}
		if !found {
			return false
		}
	}
	return true
}

// Leader waits for a controller that leads and orders, and returns its number.
func (f *Fleet) Leader(ctx context.Context) (int, error) {
	for {
		for controller, member := range f.controllers {
			if _, process := member.(*processHost); process && member.pid() == 0 {
				continue
			}
			read, err := f.scrapeController(ctx, controller)
			if err == nil && read.sum(leaderMetric) > 0 {
				return controller, nil
			}
		}
		if !pause.For(ctx, leaderPoll) {
			return 0, trace.Wrap(ctx.Err(), "no controller leads")
		}
	}
}

// filter returns the scrape with one family alone, cut to the metrics with the labels.
func (s scrape) filter(family string, labels []string) scrape {
	kept := &dto.MetricFamily{}
	for _, metric := range s[family].GetMetric() {
		if hasLabels(metric, labels) {
			kept.Metric = append(kept.Metric, metric)
		}
	}
	return scrape{family: kept}
}
