// Package rattanoverload tests processes of the command serve under callers that
// send more than an instance can hold. Its tests measure the memory and the
// descriptors of processes, so that they run one at a time and apart from the
// tests of other packages; see .ci/run.
package rattanoverload
