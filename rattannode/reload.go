package rattannode

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/platform"
)

// settingsCheck is how often the settings file is looked at: it may change
// without a signal.
const settingsCheck = time.Second

// fileVersion tells versions of a file apart without reading it.
type fileVersion struct {
	changed time.Time
	size    int64
}

func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		// A file that is being replaced is looked at again soon.
		return fileVersion{}
	}
	return fileVersion{changed: info.ModTime(), size: info.Size()}
}

// followSettings reloads the settings on SIGHUP and when their file has
// changed.
func (n *Node) followSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	path := platform.SettingsPath(n.config.SettingsPath)
	loaded := versionOf(path)
	for {
		cause := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			cause = "file changed"
			if version := versionOf(path); version == loaded || version == (fileVersion{}) {
				continue
			}
		}
		loaded = versionOf(path)
		n.reload(cause)
	}
}

// reload takes in the settings that may change while the instance runs.
func (n *Node) reload(cause string) {
	settings, err := platform.ReadSettings(n.config.SettingsPath)
	if err != nil {
		n.config.Logger.WithFields(logrus.Fields{"Cause": cause, "Error": err.Error()}).Error("settings not reloaded")
		return
	}
	n.settings.Store(&settings)
	n.config.Logger.WithField("Cause", cause).Info("settings reloaded")
}
