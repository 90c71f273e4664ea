package older

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// HoldConfig says which slots of a shared backend server are held.
type HoldConfig struct {
	// URL is what is asked for; the backend server's service time for it is
	// how long a slot is held.
	URL string
	// Slots is the number of slots held at one time.
	Slots int
	// Pause is the time between two requests of one slot.
	Pause time.Duration
}

// Hold keeps slots in use until ctx ends. onError gets each failure.
func Hold(ctx context.Context, cfg HoldConfig, onError func(error)) error {
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}}
	for range cfg.Slots {
		wg.Go(func() {
			for ctx.Err() == nil {
				if err := get(ctx, client, cfg.URL); err != nil && ctx.Err() == nil {
					onError(err)
				}
				pause(ctx, cfg.Pause)
			}
		})
	}
	wg.Wait()
	client.CloseIdleConnections()
	return ctx.Err()
}

func get(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
