package fleet

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// settingsDirectory is the subdirectory of a deployment with the settings files.
const settingsDirectory = "settings"

// ServeArguments returns the arguments with which this program runs a server of a role with
// the latencies of a fleet description.
type ServeArguments func(role Role, settingsPath, descriptionPath string, more ...string) []string

// prepareRun writes the description into the run's directory, copies the deployment's
// settings there with their addresses moved from sourceNetwork to the description's network,
// and returns a Process for each settings file.
func prepareRun(options Options, sourceNetwork string, description Description) ([]*Process, error) {
	move := func(text []byte) []byte {
		return []byte(strings.ReplaceAll(string(text), sourceNetwork+".", description.Network+"."))
	}
	text, err := yaml.Marshal(description)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	descriptionPath := filepath.Join(options.Directory, DescriptionFile)
	if err := os.WriteFile(descriptionPath, text, 0o644); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var processes []*Process
	for _, role := range []Role{RoleController, RoleGateway} {
		paths, err := filepath.Glob(filepath.Join(options.Deployment, settingsDirectory, string(role)+"-*.yaml"))
		if err != nil || len(paths) == 0 {
			return nil, trace.BadParameter("%s/%s contains no %s-*.yaml", options.Deployment, settingsDirectory, role)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, trace.ConvertSystemError(err)
			}
			copied := filepath.Join(options.Directory, filepath.Base(path))
			if err := os.WriteFile(copied, move(text), 0o644); err != nil {
				return nil, trace.ConvertSystemError(err)
			}
			process, err := newProcess(options, role, copied, descriptionPath)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			processes = append(processes, process)
		}
	}
	return processes, nil
}

// newProcess returns the process of one settings file.
func newProcess(options Options, role Role, path, descriptionPath string) (*Process, error) {
	process := &Process{Role: role, SettingsPath: path}
	source := settings.Source{Path: path}
	var more []string
	if role == RoleController {
		loaded, err := settings.LoadController(source)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		process.Name, process.Zone = loaded.Name, loaded.Zone
		process.Listen, process.AdminListen = loaded.Listen, loaded.AdminListen
		process.DataDirectory = filepath.Join(options.Directory, "data", loaded.Name)
		more = []string{"--data-directory", process.DataDirectory}
	} else {
		loaded, err := settings.LoadGateway(source)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		process.drainTimeout = loaded.DrainTimeout
		process.Name, process.Zone = loaded.Name, loaded.Zone
		process.Listen, process.AdminListen = loaded.Listen, loaded.AdminListen
	}
	process.LogPath = filepath.Join(options.Directory, process.Name+".log")
	process.arguments = options.Serve(role, path, descriptionPath, more...)
	return process, nil
}
