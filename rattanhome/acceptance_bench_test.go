package rattanhome

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAcceptanceRecord measures the memory that the record takes for each submission.
func BenchmarkAcceptanceRecord(b *testing.B) {
	const submitters = 8
	names := make([]string, submitters)
	for i := range names {
		names[i] = fmt.Sprintf("front-%d", i)
	}
	record := newAcceptanceRecord()
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		record.accept(names[i%submitters], fmt.Sprintf("%016x", i), int64(i+1), now)
	}
	b.StopTimer()
	if kept := len(record.of(names[0]).jobs); kept < b.N/submitters {
		b.Fatalf("%d jobs kept", kept)
	}
}
