package finding

import "strconv"

// maxNearestBytes bounds the names that are compared, because the edit distance
// takes time proportional to the product of the lengths.
const maxNearestBytes = 128

// Nearest returns the known name with the smallest edit distance to name, or
// "" when none is within a third of the name's length (at least 2 edits) or
// the name is longer than 128 bytes.
func Nearest(name string, known []string) string {
	if len(name) > maxNearestBytes {
		return ""
	}
	limit := max(2, len(name)/3)
	best := ""
	for _, candidate := range known {
		if abs(len(candidate)-len(name)) > limit {
			continue
		}
		if d := editDistance(name, candidate); d <= limit && d < max(len(name), len(candidate)) {
			best, limit = candidate, d-1
		}
	}
	return best
}

// SuggestNearest returns the fix `use "x"` for the nearest known name x, or "".
func SuggestNearest(name string, known []string) string {
	nearest := Nearest(name, known)
	if nearest == "" {
		return ""
	}
	return "use " + strconv.Quote(nearest)
}

// editDistance returns the Levenshtein distance in bytes, ignoring the case
// of ASCII letters.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if lower(a[i]) == lower(b[j]) {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

func abs(n int) int {
	return max(n, -n)
}
