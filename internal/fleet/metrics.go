package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// Counter reads a node's metrics and sums those whose name, with its labels,
// starts with prefix. A node that does not answer counts as 0.
func Counter(ctx context.Context, m *Member, prefix string) float64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.LocalURL()+"/metrics", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			sum += v
		}
	}
	return sum
}
