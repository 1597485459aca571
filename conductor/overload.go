// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/forecaster"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

// newForecaster returns the forecaster of waiting requests, or nil if it is disabled.
func (h *Host) newForecaster(self tracker.HostRecord) *forecaster.Forecaster {
	if !h.opts.Settings.Platform.Enabled(loader.MechanismForecast) {
		return nil
	}
	return forecaster.New(forecaster.Options{Seed: tracker.Rank(self.Host, "forecaster") + self.Incarnation})
}

// logOverloads logs the overloads of classes that have begun or ended since the last call.
func (h *Host) logOverloads(now time.Time) {
	for _, c := range h.exchanger.OverloadChanges(now) {
		ev := h.log.StateChange().Str("Service", c.Key.Service).Str("Class", c.Key.Class).
			Float64("EnteredPerSecond", c.Entered).Float64("StartedPerSecond", c.Started).Uint64("Refused", c.Refused)
		if c.Ended {
			ev.Dur("Lasted", c.Lasted).Msg(logger.OverloadEnded)
		} else {
			ev.Msg(logger.OverloadBegan)
		}
	}
}

// addLanes adds the gauges of the requests that wait.
func (c *counters) addLanes(x *exchanger.Exchanger) {
	c.set.NewGauge("amaranthgate_requests_on_time_waiting", func() float64 {
		onTime, _ := x.WaitingByLane()
		return float64(onTime)
	})
	c.set.NewGauge("amaranthgate_requests_late_waiting", func() float64 {
		_, late := x.WaitingByLane()
		return float64(late)
	})
}

// forecast counts what a forecast has done with a request. The routes are those configured.
func (c *counters) forecast(o *exchanger.Outcome) {
	if o.RefusedEarly {
		c.set.GetOrCreateCounter(fmt.Sprintf("amaranthgate_requests_refused_early_total{route=%q}", o.Route)).Inc()
	}
	if o.Readmitted {
		c.set.GetOrCreateCounter("amaranthgate_requests_readmitted_total").Inc()
	}
	if o.Forecast > 0 {
		c.set.GetOrCreateHistogram("amaranthgate_wait_forecast_ratio").Update(o.Queued.Seconds() / o.Forecast.Seconds())
	}
}
