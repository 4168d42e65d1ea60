package rwlab_test

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"ragwortwall/internal/rwcrowd"
	"ragwortwall/internal/rwlab"

	"github.com/stretchr/testify/require"
)

// Limits of the process that gets callers outside the limits. The bounds of the checks are these.
const (
	doorMemory      = 112 // MB
	doorDescriptors = 600
	wideDescriptors = 4100
	fileDescriptors = 200 // kept for files
	manyConns       = 900 // with doorDescriptors; other numbers come with wideDescriptors
	settleTime      = time.Second
	answerTimeout   = 20 * time.Second
	legalHead       = 15 << 10
	shortOfEnd      = "Content-Length: 10\r\n\r\n123456789"
	instance        = "i1"
)

func headOf(line string) string {
	return line + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + rwlab.CallerKey + "\r\nIdempotency-Key: door%d\r\n"
}

const legalBody = 2<<20 - 1<<10

// longBody returns a body that stops one byte short of its end.
func longBody() string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", legalBody, strings.Repeat("x", legalBody-1))
}

// manyFields returns a whole body of JSON with very many fields.
func manyFields() string {
	const first, field, last = `{"model":"lettering","stop":[`, `"",`, `""]}`
	body := first + strings.Repeat(field, (legalBody-len(first)-len(last))/len(field)) + last
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func callersDoor(f *rwlab.Fleet) string { return strings.TrimPrefix(f.URL(instance), "http://") }
func operatorsDoor(f *rwlab.Fleet) string {
	return strings.TrimPrefix(f.OperatorURL(instance), "http://")
}
func instancesDoor(f *rwlab.Fleet) string { return f.InstancesAddress(instance) }

// crowds are the forms at the doors where they differ. Their sizes are small, and fixed.
var crowds = []struct {
	name  string
	conns int
	door  func(*rwlab.Fleet) string
	send  rwcrowd.Sender
}{
	{"no byte", manyConns, callersDoor, rwcrowd.Nothing},
	{"short of its end", manyConns, callersDoor, rwcrowd.Text(headOf("POST /v1/completions"), shortOfEnd)},
	{"short of its end, no route", manyConns, callersDoor, rwcrowd.Text(headOf("POST /nowhere"), shortOfEnd)},
	{"short of its end, ready path", manyConns, callersDoor, rwcrowd.Text(headOf("POST /readyz"), shortOfEnd)},
	{"many fields", 600, callersDoor, rwcrowd.Text(headOf("POST /v1/completions"), rwcrowd.ShortFields(legalHead), shortOfEnd)},
	{"long head without an end", 40, callersDoor, rwcrowd.Text(headOf("POST /orders/x"), rwcrowd.ShortFields(900<<10))},
	{"long bodies", 100, callersDoor, rwcrowd.Text(headOf("POST /v1/completions"), longBody())},
	{"long bodies of a service", 100, callersDoor, rwcrowd.Text(headOf("POST /orders/x"), longBody())},
	{"JSON of many fields", 100, callersDoor, rwcrowd.Text(headOf("POST /v1/completions"), manyFields())},
	{"sent ahead", manyConns, callersDoor, rwcrowd.Endless("", headOf("GET /v1/models")+"\r\n")},
	{"no byte, operators", manyConns, operatorsDoor, rwcrowd.Nothing},
	{"long head, operators", 40, operatorsDoor, rwcrowd.Text("GET /state HTTP/1.1\r\nHost: h\r\n", rwcrowd.ShortFields(900<<10))},
	{"no byte, instances", manyConns, instancesDoor, rwcrowd.Nothing},
	{"long message, instances", 60, instancesDoor, rwcrowd.Text("\x02\x01\x01\x80\x80\xff\x01", strings.Repeat("x", 4<<20-1<<15))},
}

// requireSound checks that the process lives, has stayed within its memory and descriptors, and
// answers an ordinary request.
func requireSound(t *testing.T, f *rwlab.Fleet) {
	t.Helper()
	require.True(t, f.Running(instance), "the process has ended")
	peak, err := rwcrowd.PeakMemory(f.PID(instance))
	require.NoError(t, err)
	descriptors, err := rwcrowd.OpenDescriptors(f.PID(instance))
	require.NoError(t, err)
	t.Log("peak memory, MB:", peak, "descriptors:", descriptors)
	require.Less(t, peak, doorMemory)
	require.Less(t, descriptors, f.Descriptors-fileDescriptors)
	client := &http.Client{Timeout: settleTime, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		r, err := http.NewRequest(http.MethodGet, f.URL(instance)+"/v1/models", nil)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+rwlab.CallerKey)
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}, answerTimeout, settleTime/10, "an ordinary request is not answered")
}

// TestCallersOutsideLimits guards against crowds of clients, at any address of `ragwortwall serve`,
// that take the memory or the descriptors of an instance.
func TestCallersOutsideLimits(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "ragwortwall/cmd/ragwortwall", "ragwortwall/cmd/rwstandin").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			fleet := &rwlab.Fleet{Bin: bin, Logs: t.TempDir(), Instances: 1, Engines: 1, Services: 1, Capacity: 12, QuietLogs: true, Memory: doorMemory, Descriptors: wideDescriptors}
			if c.conns == manyConns {
				fleet.Descriptors = doorDescriptors
			}
			require.NoError(t, fleet.Start(t.Context()))
			defer fleet.Stop()
			defer func() { _ = fleet.Kill(instance) }() // its stop is not tested here
			leave := rwcrowd.Join(t.Context(), c.door(fleet), c.conns, c.send)
			defer leave()
			time.Sleep(settleTime)
			requireSound(t, fleet) // while the crowd stays
			leave()
			requireSound(t, fleet)
		})
	}
}
