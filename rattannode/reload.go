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

// settingsPollInterval is the interval at which the settings file is checked
// for changes, because it may change without a signal.
const settingsPollInterval = time.Second

// fileVersion identifies a version of a file without reading its content.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		// The file may be in the middle of a replacement; the next poll checks
		// it again.
		return fileVersion{}
	}
	return fileVersion{modTime: info.ModTime(), size: info.Size()}
}

// watchSettings reloads the settings on SIGHUP and when their file changes.
func (n *Node) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
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

// reload reads the settings file and applies the settings that may change at
// run time.
func (n *Node) reload(cause string) {
	settings, err := platform.ReadSettings(n.config.SettingsPath)
	if err != nil {
		n.config.Logger.WithFields(logrus.Fields{"Cause": cause, "Error": err.Error()}).Error("settings not reloaded")
		return
	}
	n.settings.Store(&settings)
	n.config.Logger.WithField("Cause", cause).Info("settings reloaded")
}
