package node

import (
	"fmt"
	"testing"
	"time"
)

// FuzzParseOptions: no settings make the parser panic, and settings that it accepts are
// such that a node can start with them.
func FuzzParseOptions(f *testing.F) {
	f.Add([]byte("vm = \"vm-1\"\navailabilityZone = \"z\"\ncallerAddress = \"127.0.0.1:1\"\npeerAddress = \"127.0.0.1:2\"\nplatform = \"http://127.0.0.1:3\"\n"))
	f.Add([]byte("vm = \"vm-1\"\navailabilityZone = \"z\"\ncallerAddress = \"a:1\"\npeerAddress = \"a:2\"\nleaveTime = \"4s\"\ncores = 0.5\n[foreign]\nstore = \"a:3\"\nreadiness = \"a:4\"\ndirectory = \"a:5\"\nmetrics = \"a:6\"\nmemoryMegabytes = 184\nextraAttemptsRatio = 0.2\nextraAttemptsSlack = 630\nextraAttemptsPeriod = \"10s\"\n"))
	const foreign = "vm = \"vm-1\"\navailabilityZone = \"z\"\ncallerAddress = \"a:1\"\npeerAddress = \"a:2\"\n%s[foreign]\nstore = \"a:3\"\nreadiness = \"a:4\"\ndirectory = \"a:5\"\nmetrics = \"a:6\"\n%s"
	for _, setting := range []string{"memoryMegabytes = 1e300", "memoryMegabytes = inf", "extraAttemptsRatio = inf", "extraAttemptsSlack = inf", "extraAttemptsPeriod = \"1ns\"", "addressLife = \"1ns\"", "evacuationTime = \"5000ms\"", "evacuationTime = \"-1s\"", "coldOverage = 0.5", "coldOverage = inf", "coldSlack = -1", "quotaWindow = \"5s\"\nquotaOverage = 0.1\nquotaSlack = 20", "quotaWindow = \"1ns\"", "quotaOverage = inf", "quotaSlack = -1"} {
		f.Add(fmt.Appendf(nil, foreign, "", setting))
	}
	f.Add(fmt.Appendf(nil, foreign, "cores = inf\n", ""))
	f.Add([]byte("peers = [1]\nmode = \"other\"\nleaveTime = \"-1s\"\ncores = -1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		options, err := ParseOptions(text)
		if err != nil {
			return
		}
		if options.VM == "" || options.LeaveTime < 0 || options.Memory < 0 || !isAmount(options.Cores) {
			t.Errorf("accepted: %+v", options)
		}
		foreign := options.Foreign
		if foreign == nil {
			return
		}
		if foreign.AddressListTTL <= 0 || foreign.Budget.Period < time.Millisecond || !isAmount(foreign.Budget.Ratio) || !isAmount(foreign.Budget.Slack) {
			t.Errorf("accepted: %+v", *foreign)
		}
		if foreign.EvacuationTime < 0 || !isAmount(foreign.ColdOverage) || foreign.ColdOverage < 1 || !isAmount(foreign.ColdSlack) {
			t.Errorf("accepted: %+v", *foreign)
		}
		if foreign.Quota.Window < time.Second || !isAmount(foreign.Quota.Overage) || !isAmount(foreign.Quota.Slack) {
			t.Errorf("accepted: %+v", foreign.Quota)
		}
	})
}
