package load

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 6 * vg.Inch
)

// WriteSVG draws latency and coverage over time.
func (r *Result) WriteSVG(w io.Writer) error {
	var p50, p99, coverage plotter.XYs
	for _, s := range r.Timeline {
		if s.Answered == 0 {
			continue
		}
		x := float64(s.Second)
		p50 = append(p50, plotter.XY{X: x, Y: s.P50})
		p99 = append(p99, plotter.XY{X: x, Y: s.P99})
		coverage = append(coverage, plotter.XY{X: x, Y: s.Coverage})
	}
	latencyChart := plot.New()
	latencyChart.Title.Text = "Latency from the scheduled arrival"
	latencyChart.Y.Label.Text = "ms"
	latencyChart.Y.Min = 0
	if err := plotutil.AddLinePoints(latencyChart, "p50", p50, "p99", p99); err != nil {
		return err
	}
	coverageChart := plot.New()
	coverageChart.Title.Text = "Coverage"
	coverageChart.X.Label.Text = "s"
	coverageChart.Y.Label.Text = "mean fraction"
	if err := plotutil.AddLinePoints(coverageChart, coverage); err != nil {
		return err
	}
	coverageChart.Y.Min, coverageChart.Y.Max = 0, 1.05 // margin above full coverage

	canvas := vgsvg.New(chartWidth, chartHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Points(12), PadTop: vg.Points(6), PadBottom: vg.Points(6), PadRight: vg.Points(6)}
	plots := [][]*plot.Plot{{latencyChart}, {coverageChart}}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err := canvas.WriteTo(w)
	return err
}
