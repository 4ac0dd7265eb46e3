package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	controlTimeout = 3 * time.Second
	readyTimeout   = 10 * time.Second
	readyPoll      = 20 * time.Millisecond
)

// StatusError means that a control route or an instance returned a status other
// than 200.
type StatusError struct {
	URL    string
	Status int
}

func (err *StatusError) Error() string {
	return fmt.Sprintf("experiment: %s returned status %d", err.URL, err.Status)
}

// NotReadyError means that a program was not ready within readyTimeout.
type NotReadyError struct {
	Name      string
	LastError error // Error of the last readiness check.
}

func (err *NotReadyError) Error() string {
	return fmt.Sprintf("experiment: %s is not ready after %s: %v", err.Name, readyTimeout, err.LastError)
}

func (err *NotReadyError) Unwrap() error { return err.LastError }

// callControlRoute sends input as JSON to a control route and decodes the response
// into output. Each of them may be nil.
func callControlRoute(method, url string, input, output any) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	body, err := json.Marshal(input)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &StatusError{URL: url, Status: response.StatusCode}
	}
	if output == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(output)
}

// waitReady polls a URL until it returns status 200, for at most readyTimeout.
func waitReady(name, url string) error {
	var lastErr error
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPoll) {
		if lastErr = callControlRoute(http.MethodGet, url, nil, nil); lastErr == nil {
			return nil
		}
	}
	return &NotReadyError{Name: name, LastError: lastErr}
}
