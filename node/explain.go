package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthstall/jacinthstall/gateway"
)

// Explanation is the response to GET /explain.
type Explanation struct {
	Instance      string `json:"instance"`
	StoreRevision uint64 `json:"storeRevision"`
	*gateway.Explanation
}

// ExplainError is the response to a query that does not describe a request.
type ExplainError struct {
	Error string `json:"error"`
}

// handleExplain responds with the routing decision for a request, which is not sent.
// The response contains no key: keys are not kept. Explanations are made one at a time,
// because each copies the state of a service (0.5 MB for 130 targets).
func (node *Node) handleExplain(_ context.Context, c *app.RequestContext) {
	node.explaining.Lock()
	defer node.explaining.Unlock()
	query, err := parseExplainQuery(c)
	var explanation *gateway.Explanation
	if err == nil {
		explanation, err = node.gateway.Explain(time.Now(), query)
	}
	if err != nil {
		writeJSON(c, 400, ExplainError{Error: err.Error()})
		return
	}
	writeJSON(c, 200, Explanation{Instance: node.settings.Name, StoreRevision: node.mirror.Revision(), Explanation: explanation})
}

func writeJSON(c *app.RequestContext, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil { // A float that is not finite.
		c.SetStatusCode(500)
		return
	}
	c.Data(status, "application/json", append(body, '\n'))
}

// parseExplainQuery reads the parameters of GET /explain. An error does not contain
// the value, and an unknown parameter is an error, in case an operator passes a key.
func parseExplainQuery(c *app.RequestContext) (gateway.ExplainQuery, error) {
	var query gateway.ExplainQuery
	var err error
	c.QueryArgs().VisitAll(func(key, value []byte) {
		if e := setExplainParameter(&query, string(key), string(value)); e != nil && err == nil {
			err = e
		}
	})
	if err == nil && (query.Host == "" || query.Path == "") {
		err = fmt.Errorf("parameters host and path are needed")
	}
	return query, err
}

func setExplainParameter(query *gateway.ExplainQuery, name, value string) error {
	texts := map[string]*string{"host": &query.Host, "path": &query.Path, "object": &query.Object, "account": &query.Account,
		"service": &query.Service, "region": &query.Region}
	if text, ok := texts[name]; ok {
		*text = value
		return nil
	}
	if name != "bodyBytes" && name != "deadlineMs" {
		return fmt.Errorf("unknown parameter")
	}
	n, err := strconv.ParseUint(value, 10, 40)
	if err != nil {
		return fmt.Errorf("parameter %s is not a number from 0 to 2^40", name)
	}
	if name == "bodyBytes" {
		query.BodyBytes = int64(n)
	} else {
		query.Deadline = time.Duration(n) * time.Millisecond
	}
	return nil
}
