package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
)

// adminAddrUsage is the usage text of the flag --addr of operators' commands.
const adminAddrUsage = "address of a member's administration API (mesh_addr in its settings file), host:port"

// adminTimeout bounds a request to the administration API.
const adminTimeout = 10 * time.Second

// adminRequest sends a request to a member's administration API and returns the body of a response
// with status 200. The API describes errors in JSON.
func adminRequest(addr string, r wire.Request) ([]byte, error) {
	status, body := httpclient.NewClient(addr, 1).Do(r, adminTimeout)
	if status == 0 {
		return nil, fmt.Errorf("%s did not respond", addr)
	}
	if status != 200 {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(body, &e) != nil || e.Error == "" {
			e.Error = string(body)
		}
		return nil, fmt.Errorf("%s returned status %d: %s", addr, status, e.Error)
	}
	return body, nil
}

func settingsCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Read and change the cluster's settings through the administration API",
		Example: "  grebedock settings get --addr 10.0.0.1:8081\n" +
			"  grebedock settings set --addr 10.0.0.1:8081 idle_boots=2 'drain=[\"i-000231\"]'",
	}
	cmd.PersistentFlags().StringVar(&addr, "addr", "", adminAddrUsage)
	if err := cmd.MarkPersistentFlagRequired("addr"); err != nil {
		panic(err)
	}
	show := func(cmd *cobra.Command, r wire.Request) error {
		body, err := adminRequest(addr, r)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(body))
		return nil
	}
	cmd.AddCommand(&cobra.Command{
		Use: "get", Short: "Print the current settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return show(cmd, wire.Request{Method: "GET", Path: "/v1/settings"})
		},
	}, &cobra.Command{
		Use: "set NAME=VALUE...", Short: "Change settings; values are in JSON", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := map[string]json.RawMessage{}
			for _, a := range args {
				name, value, ok := strings.Cut(a, "=")
				if !ok || !json.Valid([]byte(value)) {
					return fmt.Errorf("%q is not NAME=VALUE with a JSON value", a)
				}
				change[name] = json.RawMessage(value)
			}
			body, err := json.Marshal(change)
			if err != nil {
				return err
			}
			return show(cmd, wire.Request{Method: "PATCH", Path: "/v1/settings", Body: body})
		},
	})
	return cmd
}
