package rattanprocess

import (
	"encoding/binary"
	"encoding/hex"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	// socketTable is the kernel's list of TCP sockets over IPv4.
	socketTable = "/proc/net/tcp"
	// stateListen is the state of a listening socket, whose queue counts connections.
	stateListen = "0A"
	// Columns of the table.
	localColumn, stateColumn, queueColumn, columns = 1, 3, 4, 5
	// queueDigits is the length of one of the two numbers in the column of queues.
	queueDigits = 8
)

// queuedBytes returns the number of bytes in the queues of all connections whose local
// address is the IP address: received and not yet read, or sent and not yet received.
func queuedBytes(ip string) (int64, error) {
	address, err := tableAddress(ip)
	if err != nil {
		return 0, err
	}
	table, err := os.ReadFile(socketTable)
	if err != nil {
		return 0, errors.Trace(err)
	}
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < columns || !strings.HasPrefix(fields[localColumn], address+":") || fields[stateColumn] == stateListen {
			continue
		}
		bytes, err := queueBytes(fields[queueColumn])
		if err != nil {
			return 0, err
		}
		sum += bytes
	}
	return sum, nil
}

// tableAddress returns the form that an IP address has in the table.
func tableAddress(ip string) (string, error) {
	address := net.ParseIP(ip).To4()
	if address == nil {
		return "", errors.NotValidf("IPv4 address %q", ip)
	}
	// The table shows addresses as numbers of the machine's byte order.
	if binary.NativeEndian.Uint16([]byte{1, 0}) == 1 {
		slices.Reverse(address)
	}
	return strings.ToUpper(hex.EncodeToString(address)), nil
}

// queueBytes returns the sum of the two queues in a field of the form SEND:RECEIVE.
func queueBytes(field string) (int64, error) {
	if len(field) != 2*queueDigits+1 {
		return 0, errors.NotValidf("queues %q", field)
	}
	sum := int64(0)
	for _, digits := range []string{field[:queueDigits], field[queueDigits+1:]} {
		bytes, err := strconv.ParseInt(digits, 16, 64)
		if err != nil {
			return 0, errors.Trace(err)
		}
		sum += bytes
	}
	return sum, nil
}
