package rattannode

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
)

const settingsText = `{"node_name":"a","ip":"127.0.0.1","zone":"z","listen":{"front":"127.0.0.1:1","readiness":"127.0.0.1:2",
"control":"127.0.0.1:3"},"seeds":["127.0.0.1:%d"],"bounds":{"max_hold_ms":1000,"grace_s":6},"control_mode":"call",
"platform":{"address":"127.0.0.1:9","form":"kv"}}`

// TestSettingsChangedWithoutSignal guards against keeping old settings when the
// file changes without a signal, and against applying a file that cannot be
// parsed.
func TestSettingsChangedWithoutSignal(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(text string) {
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
	write(fmt.Sprintf(settingsText, 4))
	settings, err := platform.ReadSettings(path)
	c.Assert(err, qt.IsNil)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n := &Node{config: Config{SettingsPath: path, Logger: logger}}
	n.settings.Store(&settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.watchSettings(ctx)
	time.Sleep(settingsPollInterval / 4)
	write("{")
	time.Sleep(settingsPollInterval * 5 / 4)
	c.Assert(n.settings.Load().Seeds, qt.DeepEquals, []string{"127.0.0.1:4"})
	write(fmt.Sprintf(settingsText, 55))
	deadline := time.Now().Add(3 * settingsPollInterval)
	for n.settings.Load().Seeds[0] != "127.0.0.1:55" && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(n.settings.Load().Seeds, qt.DeepEquals, []string{"127.0.0.1:55"})
}
