package load

import (
	"image/color"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// plotWindow is the duration that each point of a plot covers.
const plotWindow = 500 * time.Millisecond

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

var rankColors = []color.Color{
	color.RGBA{R: 200, A: 255},
	color.RGBA{G: 120, A: 255},
	color.RGBA{B: 200, A: 255},
	color.RGBA{R: 120, G: 120, A: 255},
}

// Plot writes a plot of p99 latency (solid, milliseconds) and goodput (dashed,
// answers per second) by rank over time. The file extension selects the format.
func (r *Report) Plot(path string) (err error) {
	defer util.Annotate(&err, "plot %s", path)
	p := plot.New()
	p.Title.Text = "p99 in ms (solid) and answers per second (dashed), by rank"
	p.X.Label.Text = "time in s"
	p.Y.Min = 0
	for rank, definition := range r.Config.Plan.Document.Ranks {
		latency, goodput := r.rankSeries(rank)
		if len(latency) == 0 {
			continue
		}
		if err := addLine(p, definition.Name, rank, latency, false); err != nil {
			return err
		}
		if err := addLine(p, "", rank, goodput, true); err != nil {
			return err
		}
	}
	return errors.WithStack(p.Save(plotWidth, plotHeight, path))
}

func addLine(p *plot.Plot, name string, rank int, points plotter.XYs, dashed bool) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.WithStack(err)
	}
	line.Color = rankColors[rank%len(rankColors)]
	if dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// rankSeries returns the p99 latency and the goodput of a rank for each plotWindow, by
// the scheduled time of the requests. Every request counts as an answer unless it was
// refused or answered with an error; so late answers and requests without an answer
// count too. Windows without answers have no latency.
func (r *Report) rankSeries(rank int) (latency, goodput plotter.XYs) {
	windows := map[int][]float64{}
	for _, sample := range r.Samples {
		kind, found := r.Config.Plan.Document.Kind(sample.Kind)
		if !found || kind.Rank != rank || sample.ScheduledAt < 0 || sample.Status == answer.NotRun || sample.Code != "" {
			continue
		}
		window := int(sample.ScheduledAt / plotWindow)
		windows[window] = append(windows[window], sample.Latency.Seconds()*1000)
	}
	for window := range int(r.Config.Plan.Duration / plotWindow) {
		at := (time.Duration(window) * plotWindow).Seconds()
		values := windows[window]
		goodput = append(goodput, plotter.XY{X: at, Y: float64(len(values)) / plotWindow.Seconds()})
		if len(values) > 0 {
			slices.Sort(values)
			latency = append(latency, plotter.XY{X: at, Y: values[len(values)*99/100]})
		}
	}
	return latency, goodput
}
