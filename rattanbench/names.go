package rattanbench

import "fmt"

// targetsPerRack is the number of targets in a rack in the current deployments.
const targetsPerRack = 8

func targetName(i int) string {
	return fmt.Sprintf("target-%02d", i)
}

func rackName(i int) string {
	return fmt.Sprintf("rack-%d", i/targetsPerRack)
}
