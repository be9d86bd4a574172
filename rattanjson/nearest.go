package rattanjson

import "strings"

// Nearest returns the name with the smallest edit distance to key, or "" when
// none is within half of the key's length.
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

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
