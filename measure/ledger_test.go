package measure

import "testing"

func BenchmarkFold(b *testing.B) {
	m, err := fleetRecords(1)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := foldTime(m.records); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(m.records)*b.N)/b.Elapsed().Seconds(), "records/s")
}
