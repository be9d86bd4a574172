package rattanjson

import "strings"

// Nearest returns the name with the smallest edit distance to key, ignoring
// case. It returns "" if the distance exceeds half the length of key for every
// name.
func Nearest(key string, names []string) string {
	best, bestDistance := "", len(key)/2+1
	for _, name := range names {
		distance := editDistance(strings.ToLower(key), strings.ToLower(name))
		if distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := distances[0]
		distances[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(distances[j]+1, distances[j-1]+1, diagonal+cost)
			diagonal, distances[j] = distances[j], next
		}
	}
	return distances[len(b)]
}
