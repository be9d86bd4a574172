package rattanjson_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// BenchmarkDecodeStrict compares DecodeStrict with encoding/json, which does not
// make its checks, on submissions of several sizes.
func BenchmarkDecodeStrict(b *testing.B) {
	key := rattanjob.Key{Epoch: rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}}
	for _, tasks := range []int{1, 30, 250} {
		submission := rattanjob.Submission{Key: key, Kind: "shopping-list"}
		for i := range tasks {
			submission.Tasks = append(submission.Tasks, rattanjob.Task{Payload: fmt.Appendf(nil, `{"Project":"shelf","Part":%d,"Notes":["pine","18 mm"]}`, i)})
		}
		data, err := json.Marshal(submission)
		if err != nil {
			b.Fatal(err)
		}
		for name, decode := range map[string]func([]byte, any) error{"Strict": rattanjson.DecodeStrict, "Standard": json.Unmarshal} {
			b.Run(fmt.Sprintf("%s/%d", name, tasks), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					var decoded rattanjob.Submission
					if err := decode(data, &decoded); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
