package measure

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/fleet"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Metrics of a node that are read.
const (
	metricSent       = `jacinthgate_peer_bytes_total{direction="out"}`
	metricPackets    = `jacinthgate_peer_packets_total{direction="out"}`
	metricKindPrefix = `jacinthgate_link_bytes_total{direction="out",kind="`
)

// scrapers is the number of nodes that are read at one time.
const scrapers = 8

// nodeSample is what one node has done since its start.
type nodeSample struct {
	process
	sent, packets float64
	kinds         map[string]float64
}

// counters are the platform's stand-in's.
type counters struct {
	Reads  float64 `json:"reads"`
	Writes float64 `json:"writes"`
}

// sample is what a fleet has done so far.
type sample struct {
	at       time.Time
	nodes    map[model.NodeID]nodeSample
	platform counters
}

// scrapeClient opens a connection for each call, so that none costs a node
// anything between two samples.
var scrapeClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   10 * time.Second,
}

// read takes a sample of all nodes that run.
func read(f *fleet.Fleet) (sample, error) {
	s := sample{nodes: make(map[model.NodeID]nodeSample)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	slots := make(chan struct{}, scrapers)
	for _, m := range f.Members {
		if !m.Alive() {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			n, err := readNode(m)
			mu.Lock()
			defer mu.Unlock()
			s.nodes[m.Node] = n
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	if failed != nil {
		return s, failed
	}
	s.at = time.Now()
	return s, getJSON(f.PlatformURL()+"/counters", &s.platform)
}

func readNode(m *fleet.Member) (nodeSample, error) {
	body, err := get(m.LocalURL() + "/metrics")
	if err != nil {
		return nodeSample{}, err
	}
	n, err := parseMetrics(strings.NewReader(body))
	if err != nil {
		return n, err
	}
	n.process, err = readProcess(m.PID())
	return n, err
}

func parseMetrics(r io.Reader) (nodeSample, error) {
	n := nodeSample{kinds: make(map[string]float64)}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		kind, isKind := strings.CutPrefix(name, metricKindPrefix)
		if name != metricSent && name != metricPackets && !isKind {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return n, &FormatError{What: "metric", Text: lines.Text()}
		}
		switch name {
		case metricSent:
			n.sent = v
		case metricPackets:
			n.packets = v
		default:
			n.kinds[strings.TrimSuffix(kind, `"}`)] = v
		}
	}
	return n, lines.Err()
}

// get reads a page whole.
func get(url string) (string, error) {
	resp, err := scrapeClient.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", &StatusError{URL: url, Status: resp.StatusCode}
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func getJSON(url string, v any) error {
	body, err := get(url)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(body), v)
}
