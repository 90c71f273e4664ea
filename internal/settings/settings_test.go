package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

const wholeNode = `{
 "node": "csepel-1", "zone": "csepel", "region": "budapest",
 "listen": {"caller": "0.0.0.0:8080", "gate": "10.0.0.1:8081", "peer": "10.0.0.1:8081", "local": "127.0.0.1:8082"},
 "operator": "10.0.0.1:8083",
 "seeds": ["10.0.0.2:8081", "[fd00::1]:8081"],
 "platform": {"table": "http://10.0.1.1:9000", "objects": "https://[fd00::2]/objects"},
 "tls": {"ca": "ca.pem", "certificate": "node.pem", "key": "node.key"},
 "older": {"address": "10.0.2.1:80"},
 "control": {"debounce": "0s"}
}`

func TestLoadNodeFillsInDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	must.NoError(t, os.WriteFile(path, []byte(wholeNode), 0o600))
	n, err := LoadNode(path)
	must.NoError(t, err)
	must.Eq(t, 0, n.Control.Debounce)
	must.Eq(t, 8192, n.Control.BytesPerSecond)
	must.Eq(t, "jacinthgate/", n.Platform.Prefix)
	must.Eq(t, model.Duration(time.Minute), n.TLS.ReloadInterval)
	must.Eq(t, DefaultNode().Limits, n.Limits)

	_, err = LoadNode(path + ".missing")
	must.ErrorIs(t, err, os.ErrNotExist)
	must.NoError(t, os.WriteFile(path, []byte("{}"), 0o600))
	_, err = LoadNode(path)
	var faults strictjson.Faults
	must.True(t, errors.As(err, &faults))
	must.Len(t, 6, faults) // node, zone, region, listen, platform, tls
}

func TestParseNodeRefuses(t *testing.T) {
	cases := []struct{ old, new, path, allowed string }{
		{`"csepel-1"`, `"Csepel"`, "node", allowedName},
		{`"zone": "csepel"`, `"zone": ""`, "zone", allowedName},
		{`"budapest"`, `"buda pest"`, "region", allowedName},
		{`0.0.0.0:8080`, `localhost:8080`, "listen.caller", allowedAddress},
		{`0.0.0.0:8080`, `10.0.0.1`, "listen.caller", allowedAddress},
		{`"gate": "10.0.0.1`, `"gate": "0.0.0.0`, "listen.gate", allowedAnnounced},
		{`"peer": "10.0.0.1`, `"peer": "[::]`, "listen.peer", allowedAnnounced},
		{`127.0.0.1:8082`, `10.0.0.1:8082`, "listen.local", allowedLoopback},
		{`0.0.0.0:8080`, `10.0.0.1:8081`, "listen.gate", "an address other than that of listen.caller"},
		{`10.0.0.1:8083`, `node.example:8083`, "operator", allowedAddress},
		{`10.0.0.2:8081`, `10.0.0.2:0`, "seeds[0]", allowedRemote},
		{`[fd00::1]:8081`, `10.0.0.2:8081`, "seeds[1]", "an address that is not given before"},
		{`http://10.0.1.1:9000`, `http://table.example:9000`, "platform.table", allowedURL},
		{`http://10.0.1.1:9000`, `10.0.1.1:9000`, "platform.table", allowedURL},
		{`http://10.0.1.1:9000`, `http://10.0.1.1:99999`, "platform.table", allowedURL},
		{`http://10.0.1.1:9000`, `http://u:p@10.0.1.1:9000`, "platform.table", allowedURL},
		{`https://[fd00::2]/objects`, `ftp://10.0.0.1`, "platform.objects", allowedURL},
		{`"platform": {`, `"platform": {"timeout": "5ms",`, "platform.timeout", "10ms to 1m0s"},
		{`"platform": {`, `"platform": {"prefix": "jacinthgate",`, "platform.prefix", "names of lower-case letters, digits and hyphens, each with a slash after it"},
		{`"platform": {`, `"platform": {"prefix": "/",`, "platform.prefix", "names of lower-case letters, digits and hyphens, each with a slash after it"},
		{`"ca.pem"`, `""`, "tls.ca", "the path of a file"},
		{`"tls": {`, `"tls": {"reloadInterval": "0s",`, "tls.reloadInterval", "1s to 24h0m0s"},
		{`"tls": {"ca": "ca.pem", "certificate": "node.pem", "key": "node.key"},`, ``, "tls", "certificates, or insecure set to true"},
		{`"tls": {`, `"insecure": true, "tls": {`, "insecure", "false, where tls is given"},
		{`10.0.2.1:80`, `older:80`, "older.address", allowedRemote},
		{`"debounce": "0s"`, `"debounce": 20`, "control.debounce", `a string with a unit, such as "250ms"`},
		{`"debounce": "0s"`, `"debounce": "-1s"`, "control.debounce", "0s to 5s"},
		{`"debounce": "0s"`, `"mergeInterval": "1001ms"`, "control.mergeInterval", "0s to 1s"},
		{`"debounce": "0s"`, `"bytesPerSecond": 0`, "control.bytesPerSecond", "1024 to 1073741824"},
		{`"debounce": "0s"`, `"burstBytes": 262143`, "control.burstBytes", "262144 to 1073741824"},
		{`"debounce": "0s"`, `"pollInterval": "3s"`, "control.leaseDuration", "6s to 5m0s"},
		{`"debounce": "0s"`, `"beaconInterval": "10s"`, "control.suspicionTimeout", "10s to 5m0s"},
		{`"control": {`, `"limits": {"headerBytes": 10}, "control": {`, "limits.headerBytes", "4096 to 1048576"},
		{`"control": {`, `"limits": {"maxPeers": 1}, "control": {`, "limits.maxPeers", "2 to 256"},
		{`"control": {`, `"limits": {"queue": 0}, "control": {`, "limits.queue", "1 to 10000"},
		{`"control": {`, `"shutdown": {"notice": "2m"}, "control": {`, "shutdown.notice", "0s to 1m0s"},
		{`"control": {`, `"logLevel": "INFO", "control": {`, "logLevel", "debug, info, warn, error"},
		{`"control": {`, `"loglevel": "info", "control": {`, "loglevel", "logLevel"},
	}
	for _, c := range cases {
		t.Run(c.new, func(t *testing.T) {
			must.StrContains(t, wholeNode, c.old)
			_, err := ParseNode([]byte(strings.Replace(wholeNode, c.old, c.new, 1)))
			var faults strictjson.Faults
			must.True(t, errors.As(err, &faults))
			must.Len(t, 1, faults)
			must.Eq(t, c.path, faults[0].Path)
			must.Eq(t, c.allowed, faults[0].Allowed)
		})
	}
}

func TestParseCtl(t *testing.T) {
	c, err := ParseCtl([]byte(`{"node": "http://127.0.0.1:8082"}`))
	must.NoError(t, err)
	must.Eq(t, model.Duration(10*time.Second), c.Timeout)

	const tls = `"tls": {"ca": "a", "certificate": "b", "key": "c"}`
	cases := []struct{ doc, want string }{
		{`{"node": "https://10.0.0.1:8083"}`, "tls: found nothing, allowed: certificates, where node is an https URL"},
		{`{"node": "http://10.0.0.1:8083",` + tls + `}`, "tls: found certificates, allowed: nothing, where node is an http URL"},
		{`{"node": "https://node:8083",` + tls + `}`, `node: found "https://node:8083", allowed: ` + allowedURL},
		{`{"node": "http://10.0.0.1:8083", "timeout": "1ms"}`, "timeout: found 1ms, allowed: 100ms to 10m0s"},
	}
	for _, k := range cases {
		_, err := ParseCtl([]byte(k.doc))
		must.EqError(t, err, k.want)
	}
}
