package rattanledger

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// TestMain fixes the seed and the number of rapid checks, so that the tests are
// reproducible. Both can be set with -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "1000"}
	flag.Parse()
	flag.Visit(func(given *flag.Flag) { delete(defaults, given.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

var (
	startTime  = time.Unix(1_000, 0)
	testHome   = rattanjob.Incarnation{Instance: "entry-1", Number: 7}
	testConfig = Config{
		KeyLifetime:     60 * time.Second,
		Retention:       600 * time.Second,
		AnswerRetention: 60 * time.Second,
		MaxRecords:      12,
		MaxAnswerBytes:  250,
	}
)

func testKey(epoch uint32, number int, issuedAt time.Duration) rattanjob.Key {
	key := rattanjob.Key{
		Epoch:      rattanjob.EpochID{Home: testHome, Number: epoch},
		IssuedAt:   issuedAt,
		CallerHash: rattanjob.HashCaller("counter"),
	}
	key.Nonce[0], key.Nonce[1] = byte(number), byte(number>>8)
	return key
}

func completeAnswer(payload string) rattanjob.Answer {
	data, _ := json.Marshal(payload)
	return rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan, Results: []rattanjob.Result{{Payload: data}}}
}

// TestLedgerFull guards against a full ledger that starts a job which it cannot
// record, forgets a refusal for lack of room, or reports a job as not run after
// its record was dropped.
func TestLedgerFull(t *testing.T) {
	config := testConfig
	config.MaxRecords = 2
	ledger := New(config)
	ledger.OpenEpoch(startTime, rattanjob.EpochID{Home: testHome, Number: 1}, startTime)
	keys := make([]rattanjob.Key, 4)
	for i := range keys {
		keys[i] = testKey(1, i, time.Duration(i)*time.Second)
	}
	begin := func(i int) (rattanjob.Answer, Verdict) {
		return ledger.Begin(startTime.Add(4*time.Second), keys[i], "counter", 1)
	}
	for i := range 2 {
		_, verdict := begin(i)
		qt.Assert(t, verdict, qt.Equals, VerdictStart)
	}
	answer, verdict := begin(2)
	qt.Assert(t, verdict, qt.Equals, VerdictFull)
	qt.Assert(t, answer.Execution, qt.Equals, rattanjob.ExecutionNotRun)
	qt.Assert(t, ledger.Finish(startTime, keys[0], completeAnswer("first")), qt.IsNil)
	again, verdict := begin(2)
	qt.Assert(t, verdict, qt.Equals, VerdictExpired)
	qt.Assert(t, again, qt.DeepEquals, answer)
	_, verdict = begin(3)
	qt.Assert(t, verdict, qt.Equals, VerdictStart)
	answer, verdict = begin(0)
	qt.Assert(t, verdict, qt.Equals, VerdictExpired)
	qt.Assert(t, answer.Execution, qt.Equals, rattanjob.ExecutionMayHaveRun)
	_, verdict = begin(1)
	qt.Assert(t, verdict, qt.Equals, VerdictJoin)
}

// TestBeginKeys guards against a key that starts at a home, in an epoch or at a
// time that it was not issued for, and against an answer that claims more about
// its execution than is certain.
func TestBeginKeys(t *testing.T) {
	now := startTime.Add(time.Hour)
	changedKey := func(change func(*rattanjob.Key)) rattanjob.Key {
		key := testKey(1, 1, time.Hour)
		change(&key)
		return key
	}
	issuedAgo := func(age time.Duration) rattanjob.Key { return testKey(1, 1, time.Hour-age) }
	for _, test := range []struct {
		name      string
		key       rattanjob.Key
		want      Verdict
		execution rattanjob.Execution
	}{
		{"fresh", issuedAgo(0), VerdictStart, rattanjob.ExecutionMayHaveRun},
		{"issue time slightly ahead", issuedAgo(-maxIssueSkew), VerdictStart, rattanjob.ExecutionMayHaveRun},
		{"issue time too far ahead", issuedAgo(-maxIssueSkew - time.Second), VerdictExpired, rattanjob.ExecutionMayHaveRun},
		{"just before expiry", issuedAgo(testConfig.KeyLifetime - 1), VerdictStart, rattanjob.ExecutionMayHaveRun},
		{"expired", issuedAgo(testConfig.KeyLifetime), VerdictExpired, rattanjob.ExecutionNotRun},
		{"past retention", issuedAgo(testConfig.Retention), VerdictExpired, rattanjob.ExecutionMayHaveRun},
		{"former incarnation", changedKey(func(k *rattanjob.Key) { k.Epoch.Home.Number-- }), VerdictFenced, rattanjob.ExecutionMayHaveRun},
		{"later incarnation", changedKey(func(k *rattanjob.Key) { k.Epoch.Home.Number++ }), VerdictForeign, rattanjob.ExecutionMayHaveRun},
		{"other home", changedKey(func(k *rattanjob.Key) { k.Epoch.Home.Instance = "entry-2" }), VerdictForeign, rattanjob.ExecutionMayHaveRun},
		{"future epoch", changedKey(func(k *rattanjob.Key) { k.Epoch.Number = 2 }), VerdictForeign, rattanjob.ExecutionMayHaveRun},
		{"epoch number 0", changedKey(func(k *rattanjob.Key) { k.Epoch.Number = 0 }), VerdictForeign, rattanjob.ExecutionMayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			ledger := New(testConfig)
			ledger.OpenEpoch(startTime, rattanjob.EpochID{Home: testHome, Number: 1}, startTime)
			answer, verdict := ledger.Begin(now, test.key, "counter", 1)
			qt.Assert(t, verdict, qt.Equals, test.want)
			qt.Assert(t, answer.Execution, qt.Equals, test.execution)
		})
	}
}

// TestShortRetention guards against a second start of a key whose record is
// past its retention before the lifetime of the key is over.
func TestShortRetention(t *testing.T) {
	config := testConfig
	config.Retention = time.Second
	ledger := New(config)
	ledger.OpenEpoch(startTime, rattanjob.EpochID{Home: testHome, Number: 1}, startTime)
	key := testKey(1, 1, 0)
	_, verdict := ledger.Begin(startTime, key, "counter", 1)
	qt.Assert(t, verdict, qt.Equals, VerdictStart)
	qt.Assert(t, ledger.Finish(startTime, key, completeAnswer("first")), qt.IsNil)
	now := startTime.Add(config.KeyLifetime - time.Second)
	ledger.Sweep(now)
	_, verdict = ledger.Begin(now, key, "counter", 1)
	qt.Assert(t, verdict, qt.Equals, VerdictFinal)
}
