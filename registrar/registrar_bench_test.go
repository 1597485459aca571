// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package registrar

import (
	"context"
	"fmt"
	"testing"

	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/timer"
)

// fleetSizes are numbers of hosts in eight availability zones, all of which keep records.
var fleetSizes = []int{8, 60, 300, 985}

func benchHosts(n int) (out []Host) {
	for i := range n {
		out = append(out, Host{Name: fmt.Sprintf("host-%04d", i), Address: "10.0.0.1:7100", AvailabilityZone: fmt.Sprint("zone-", i%8), Keeps: true})
	}
	return out
}

// reportTraffic reports the messages and bytes to other hosts of each operation.
func reportTraffic(b *testing.B, out []Outgoing) {
	bytes := 0
	for i := range out {
		m, err := codec.Marshal(&out[i].Message)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(m)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
	b.ReportMetric(float64(len(out))/float64(b.N), "messages/op")
}

// BenchmarkRecord measures what the beginning of a stream costs, in messages that are not batched.
func BenchmarkRecord(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(Options{Host: "host-0000", Timer: timer.NewManual(start)})
			r.SetHosts(benchHosts(n))
			o := Origin{Service: "lingua-notai", Software: "v1.1"}
			var out []Outgoing
			for i := range b.N {
				r.Record(KeyOf("workspace", fmt.Sprint(i)), o, start.Add(streamTime))
				out = append(out, r.Take()...)
			}
			b.StopTimer()
			reportTraffic(b, out)
		})
	}
}

// BenchmarkFind measures the first round of questions for a stream that this host does not know.
func BenchmarkFind(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := New(Options{Host: "host-0000", Timer: timer.NewManual(start)})
			r.SetHosts(benchHosts(n))
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var out []Outgoing
			for i := range b.N {
				r.Find(ctx, KeyOf("workspace", fmt.Sprint(i)))
				out = append(out, r.Take()...)
			}
			b.StopTimer()
			reportTraffic(b, out)
		})
	}
}
