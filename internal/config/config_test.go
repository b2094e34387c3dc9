package config

import (
	"strings"
	"testing"
)

const validSettings = `
member = "m-0"
site = "a"
front = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
from_the_future = 7
[[others]]
member = "m-1"
site = "b"
endpoint = "127.0.0.1:8082"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
initial_size = 2
zones = ["a", "b"]
clock_error_ms = 5.0
[[cluster.teams]]
name = "t"
cpus = 8.0
cpus_max = 16.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[cluster.state]
rps = 100.0
write_rps = 10.0
value_kb = 8.0
txn_ops = 16
[cluster.cloud]
rps = 4.0
list_lag_s = 5.0
[cluster.machine_limits]
cpu_share = 0.1
ram_mb = 70.0
max_sockets = 600
`

func TestInvalidSettingsAreRejectedNamingTheField(t *testing.T) {
	if _, err := Parse([]byte(validSettings)); err != nil {
		t.Fatalf("valid settings with an unknown field: %v", err)
	}
	for _, c := range []struct{ old, new, expectedErr string }{
		{`member = "m-0"`, ``, "member is missing"},
		{`front = "127.0.0.1:8080"`, `front = "nowhere"`, "front"},
		{`mesh_addr = "127.0.0.1:8081"`, `mesh_addr = "127.0.0.1:8080"`, "front and mesh_addr"},
		{`member = "m-1"`, `member = "m-0"`, "others[0].member"},
		{`cloud = "127.0.0.1:1"`, ``, "external.cloud"},
		{`zones = ["a", "b"]`, `zones = []`, "cluster.zones"},
		{`cpus = 8.0`, `cpus = -8.0`, "cluster.teams[0].cpus"},
		{`cpus_max = 16.0`, `cpus_max = 4.0`, "above cpus_max"},
		{`lease_s = 10.0`, `lease_s = 40.0`, "cluster.workers.cancel_s must be 41.2 or more"},
		{`lease_s = 10.0`, `lease_s = 29.5`, "cluster.workers.cancel_s must be 30.7 or more"},
		{`report_s = 1.0`, `report_s = "1"`, "line"},
		{`rps = 100.0`, `rps = inf`, "cluster.state.rps"},
		{`txn_ops = 16`, `txn_ops = 1`, "txn_ops"},
		{`ram_mb = 70.0`, `ram_mb = nan`, "ram_mb"},
		{`ram_mb = 70.0`, `ram_mb = 0.0`, "ram_mb"},
		{`ram_mb = 70.0`, `ram_mb = 20.0`, "ram_mb"},
		{`cpu_share = 0.1`, `cpu_share = 0.0`, "cpu_share"},
		{`cpu_share = 0.1`, `cpu_share = -1.0`, "cpu_share"},
		{`cpu_share = 0.1`, `cpu_share = 0.001`, "cpu_share"},
		{`max_sockets = 600`, `max_sockets = 0`, "max_sockets"},
	} {
		t.Run(c.new+" for "+c.old, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.expectedErr) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, c.expectedErr)
			}
		})
	}
}
