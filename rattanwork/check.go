package rattanwork

import (
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// ErrMalformedTarget reports a description that no target can have.
const ErrMalformedTarget = errors.ConstError("malformed target")

// Limits of the capacity of a target. Sums over all targets cannot overflow.
const (
	MaxMilliCPU = 1_000_000_000
	MaxMemoryMB = 1_000_000_000
	MaxGPU      = 1_000_000
)

// maxStartMillis is the end of the year 2099 in Unix milliseconds.
const maxStartMillis = 4_102_444_799_999

// Check returns ErrMalformedTarget unless requests can be sent to the target and
// its numbers are in range.
func (t *Target) Check() error {
	switch {
	case !isPrintable(t.ID):
		return errors.Annotatef(ErrMalformedTarget, "ID %q: expected printable ASCII characters without spaces", t.ID)
	case t.Service == "" || t.Zone == "":
		return errors.Annotate(ErrMalformedTarget, "empty service or zone")
	case !IsHostPort(t.Address):
		return errors.Annotatef(ErrMalformedTarget, "address %q: expected HOST:PORT", t.Address)
	case !t.Capacity.isPlausible():
		return errors.Annotatef(ErrMalformedTarget, "capacity %+v out of range", t.Capacity)
	case t.Incarnation < 0 || t.Incarnation > maxStartMillis:
		return errors.Annotatef(ErrMalformedTarget, "start time %d out of range", t.Incarnation)
	}
	return nil
}

// isPrintable reports whether the text can be sent as a header.
func isPrintable(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// IsHostPort reports whether a request can be sent to the address.
func IsHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return false
	}
	parsed, err := url.Parse("http://" + address)
	return err == nil && parsed.Host == address
}

// isPlausible reports whether no number is negative or so large that sums overflow.
func (r Resources) isPlausible() bool {
	return r.MilliCPU >= 0 && r.MilliCPU <= MaxMilliCPU && r.MemoryMB >= 0 && r.MemoryMB <= MaxMemoryMB && r.GPU >= 0 && r.GPU <= MaxGPU
}
