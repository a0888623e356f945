// Package croperator is the HTTP client that sends operator commands to a control instance; docs/interface.md describes
// the protocol.
package croperator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Client sends commands to one control instance.
type Client struct {
	// Address is the operator address of the control instance.
	Address string
	// Secret is the shared secret of the deployment, sent as bearer token.
	Secret string
	// Operator is the name of the operator, which other operators see with the changes; empty sends none.
	Operator string
	// JSON requests answers as JSON in place of text.
	JSON bool
	// HTTPClient is the HTTPClient client to use; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// Send sends one command and returns its result code and the text of the answer. An error means that no valid answer was
// received; a change may have been accepted nevertheless.
func (c *Client) Send(ctx context.Context, line string) (crcode.Code, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/command", strings.NewReader(line))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+c.Secret)
	if c.Operator != "" {
		req.Header.Set("Citronramp-Operator", c.Operator)
	}
	if c.JSON {
		req.Header.Set("Accept", "application/json")
	}
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	code, err := strconv.ParseUint(resp.Header.Get("Citronramp-Code"), 10, 16)
	if err != nil {
		return 0, "", fmt.Errorf("%s is no operator address", c.Address)
	}
	return crcode.Code(code), string(text), nil
}

// Command sends one command and returns the text of the answer. A refused command is an error that contains the answer.
func (c *Client) Command(ctx context.Context, line string) (string, error) {
	code, text, err := c.Send(ctx, line)
	if err != nil {
		return text, err
	}
	if code.HTTPStatus() != http.StatusOK {
		return text, fmt.Errorf("%s: %s", line, strings.TrimSpace(text))
	}
	return text, nil
}
