package rattansettings

import (
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Type is the type of a setting's value. Its text appears in the documentation.
type Type string

// The types of settings.
const (
	// TypeName is 1 to 64 letters, digits, dots, underscores and hyphens.
	TypeName Type = "name"
	// TypeListenAddress is an IP address and port to listen on.
	TypeListenAddress Type = "listen address"
	// TypePeerAddress is an IP address and port to connect to. The unspecified
	// address is therefore not valid.
	TypePeerAddress Type = "address"
	TypePath        Type = "path"
	TypeChoice      Type = "choice"
	TypeDuration    Type = "duration"
	TypeInteger     Type = "integer"
)

// Definition describes one setting. The definitions are the single source of
// the defaults, the range checks and the documentation.
type Definition struct {
	// Key is the path of the setting; [] stands for the elements of a list.
	Key  string
	Type Type
	// Unit is the unit of integers; it is empty for other types.
	Unit string
	// Default is the default in text form; it is empty for settings without one.
	Default string
	// Min and Max are the inclusive bounds of durations and integers.
	Min, Max string
	// Choices are the valid values of a setting with TypeChoice.
	Choices []string
	// Optional is set if the value may be empty.
	Optional    bool
	Description string
}

// definitions has one element per setting, in the order of the fields.
var definitions = []Definition{
	{Key: "Name", Type: TypeName, Description: "Name of the instance, unique in the system."},
	{Key: "AvailabilityZone", Type: TypeName, Description: "Availability zone of the instance."},
	{Key: "CallerAddress", Type: TypeListenAddress, Description: "Address for callers and operators."},
	{Key: "PeerAddress", Type: TypePeerAddress, Description: "Address for other entry instances."},
	{Key: "PlatformAddress", Type: TypePeerAddress, Description: "Address of the platform's key-value service and instance list."},
	{Key: "Peers[].Name", Type: TypeName, Description: "Name of an instance to contact first. The instance itself may be listed, so that all instances can share one list."},
	{Key: "Peers[].AvailabilityZone", Type: TypeName, Description: "Availability zone of that instance."},
	{Key: "Peers[].PeerAddress", Type: TypePeerAddress, Description: "Peer address of that instance."},
	{Key: "Document", Type: TypePath, Optional: true, Description: "Configuration document that is used until the platform or a peer has one."},
	{Key: "LogLevel", Type: TypeChoice, Default: "info", Choices: []string{"error", "warn", "info", "debug"}, Description: "Least severe level that is logged."},
	{Key: "Keys.CertificateFile", Type: TypePath, Optional: true, Description: "PEM file with the certificate of the instance. The three files are set together, or none of them for operation without TLS."},
	{Key: "Keys.KeyFile", Type: TypePath, Optional: true, Description: "PEM file with the private key of the instance."},
	{Key: "Keys.AuthorityFile", Type: TypePath, Optional: true, Description: "PEM file with the certificates that sign the certificates of all peers, callers and operators."},
	{Key: "Home.HeartbeatInterval", Type: TypeDuration, Default: "500ms", Min: "10ms", Max: "10s", Description: "Time between heartbeats to the witnesses. At most half of TenureDuration, so that one lost heartbeat does not end an epoch."},
	{Key: "Home.TenureDuration", Type: TypeDuration, Default: "1.2s", Min: "50ms", Max: "1m0s", Description: "Time that an acknowledged heartbeat keeps an epoch valid, counted from when it was sent."},
	{Key: "Home.VerdictMargin", Type: TypeDuration, Default: "300ms", Min: "10ms", Max: "1m0s", Description: "Time beyond TenureDuration after which a silent witness may vote that the epoch has ended. At least a tenth of TenureDuration, because clocks may differ in rate by up to 10%."},
	{Key: "Home.KeyLifetime", Type: TypeDuration, Default: "1m0s", Min: "1s", Max: "1h0m0s", Description: "Time after issue during which a key is accepted for a first submission. At most Retention."},
	{Key: "Home.Retention", Type: TypeDuration, Default: "10m0s", Min: "1s", Max: "24h0m0s", Description: "Time that the record of an ended job is kept."},
	{Key: "Home.AnswerRetention", Type: TypeDuration, Default: "1m0s", Min: "1s", Max: "24h0m0s", Description: "Time that the results of an answered job are kept. At most Retention."},
	{Key: "Home.MaxRecords", Type: TypeInteger, Unit: "records", Default: "1000000", Min: "1000", Max: "100000000", Description: "Most records in the ledger."},
	{Key: "Home.MaxAnswerBytes", Type: TypeInteger, Unit: "bytes", Default: "67108864", Min: "1048576", Max: "68719476736", Description: "Most bytes of results in the ledger; the oldest are dropped first."},
	{Key: "Home.PoolSlots", Type: TypeInteger, Unit: "slots", Default: "1024", Min: "8", Max: "16384", Description: "Most slots of a pool; a zone with more slots is divided into several pools, each with a home of its own. The same at all instances of an availability zone."},
	{Key: "Home.DrainTimeout", Type: TypeDuration, Default: "2m0s", Min: "1s", Max: "1h0m0s", Description: "Longest time that a graceful shutdown waits for running jobs."},
}

// requirement describes the values that the definition accepts, for error
// messages.
func (d Definition) requirement() string {
	switch d.Type {
	case TypeName:
		return rattanjson.NameRule
	case TypeListenAddress:
		return "an IP address and a port from 1 to 65535, such as \"10.0.0.1:8080\""
	case TypePeerAddress:
		return "an IP address that others can reach and a port from 1 to 65535, such as \"10.0.0.1:8080\""
	case TypeChoice:
		return "one of " + strings.Join(d.Choices, ", ")
	case TypeDuration:
		return "a duration from " + shortenDuration(d.Min) + " to " + shortenDuration(d.Max)
	case TypeInteger:
		return "a number of " + d.Unit + " from " + d.Min + " to " + d.Max
	default:
		return "the path of a file"
	}
}

// accepts reports whether a value in text form is valid for the setting.
func (d Definition) accepts(text string) bool {
	if text == "" {
		return d.Optional
	}
	switch d.Type {
	case TypeName:
		return rattanjson.IsName(text)
	case TypeListenAddress:
		address, err := netip.ParseAddrPort(text)
		return err == nil && address.Port() != 0
	case TypePeerAddress:
		address, err := netip.ParseAddrPort(text)
		return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified()
	case TypeChoice:
		return slices.Contains(d.Choices, text)
	case TypeDuration:
		value, err := time.ParseDuration(text)
		return err == nil && value >= mustParseDuration(d.Min) && value <= mustParseDuration(d.Max)
	case TypeInteger:
		value, err := strconv.ParseInt(text, 10, 64)
		return err == nil && value >= mustParseInteger(d.Min) && value <= mustParseInteger(d.Max)
	default:
		return !strings.ContainsRune(text, 0)
	}
}

// check returns an ErrInvalidSettings for the first value at the definition's
// key that is not valid.
func (d Definition) check(settings reflect.Value) error {
	return visitValues(settings, d.Key, "", func(path string, value reflect.Value) error {
		text := formatValue(value)
		if d.accepts(text) {
			return nil
		}
		if text == "" {
			return invalidSettings("%s: missing, want %s", path, d.requirement())
		}
		return invalidSettings("%s: %.80q, want %s", path, text, d.requirement())
	})
}

// setDefault sets the value at the definition's key to the default.
func (d Definition) setDefault(settings reflect.Value) {
	if d.Default == "" {
		return
	}
	_ = visitValues(settings, d.Key, "", func(_ string, value reflect.Value) error {
		switch d.Type {
		case TypeDuration:
			value.SetInt(int64(mustParseDuration(d.Default)))
		case TypeInteger:
			value.SetInt(mustParseInteger(d.Default))
		default:
			value.SetString(d.Default)
		}
		return nil
	})
}

// visitValues calls visit with each value at the key and the value's path. It
// panics if the type does not have the key.
func visitValues(value reflect.Value, key, path string, visit func(path string, value reflect.Value) error) error {
	if key == "" {
		return visit(path, value)
	}
	name, rest, _ := strings.Cut(key, ".")
	name, isList := strings.CutSuffix(name, "[]")
	if path != "" {
		path += "."
	}
	path += name
	field := value.FieldByName(name)
	if !isList {
		return visitValues(field, rest, path, visit)
	}
	for i := range field.Len() {
		if err := visitValues(field.Index(i), rest, path+"["+strconv.Itoa(i)+"]", visit); err != nil {
			return err
		}
	}
	return nil
}

func formatValue(value reflect.Value) string {
	switch typed := value.Interface().(type) {
	case rattanjson.Duration:
		return typed.String()
	case string:
		return typed
	default:
		return strconv.FormatInt(value.Int(), 10)
	}
}

// shortenDuration removes trailing zero units from the text of a duration; it
// turns "1m0s" into "1m".
func shortenDuration(duration string) string {
	if strings.HasSuffix(duration, "m0s") {
		duration = strings.TrimSuffix(duration, "0s")
	}
	if strings.HasSuffix(duration, "h0m") {
		duration = strings.TrimSuffix(duration, "0m")
	}
	return duration
}

func mustParseDuration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return value
}

func mustParseInteger(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return value
}

func invalidSettings(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalidSettings)
}
