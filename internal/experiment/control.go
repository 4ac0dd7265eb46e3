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

// StatusError is an answer of a control route or of an instance that is no
// success.
type StatusError struct {
	URL    string
	Status int
}

// Error states the URL and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("experiment: %s answered with status %d", e.URL, e.Status)
}

// NotReadyError means that a program did not answer in time after its start.
type NotReadyError struct {
	Name      string
	LastError error // Error of the last attempt.
}

// Error names the program.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("experiment: %s is not ready after %s: %v", e.Name, readyTimeout, e.LastError)
}

// Unwrap returns the error of the last attempt.
func (e *NotReadyError) Unwrap() error { return e.LastError }

// callControlRoute sends a request to a control route. Input and output are JSON; each
// may be nil.
func callControlRoute(method, url string, input, output any) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	body, err := json.Marshal(input)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return &StatusError{URL: url, Status: answer.StatusCode}
	}
	if output == nil {
		return nil
	}
	return json.NewDecoder(answer.Body).Decode(output)
}

// waitReady waits until a URL answers with status 200.
func waitReady(name, url string) error {
	var last error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if last = callControlRoute(http.MethodGet, url, nil, nil); last == nil {
			return nil
		}
	}
	return &NotReadyError{Name: name, LastError: last}
}
