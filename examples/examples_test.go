// Package examples checks the example documents of the two deployments.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/settings"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

func TestExamplesFormConsistentVersion(t *testing.T) {
	for _, deployment := range []string{"room-signage", "kalo-kit"} {
		t.Run(deployment, func(t *testing.T) {
			contracts := make(map[string]*snapshot.ContractEntry)
			services := make(map[string]*snapshot.ServiceEntry)
			for _, b := range documents(t, deployment) {
				for _, c := range b.Contracts {
					contracts[c.Organisation] = &snapshot.ContractEntry{Revision: 1, Contract: c}
				}
				for _, s := range b.Services {
					services[s.Name] = &snapshot.ServiceEntry{Revision: 1, Service: s}
				}
			}
			must.MapLen(t, 3, contracts)
			must.MapLen(t, 2, services)
			s, err := snapshot.Build(1, contracts, services)
			must.NoError(t, err)
			must.NoError(t, s.CheckConsistency())
		})
	}
}

func documents(t *testing.T, deployment string) []*model.Batch {
	paths, err := filepath.Glob(filepath.Join(deployment, "*", "*.json"))
	must.NoError(t, err)
	var all []*model.Batch
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		must.NoError(t, err)
		b, err := model.ParseDocument(raw)
		must.NoError(t, err, must.Sprint(path))
		all = append(all, b)
	}
	return all
}

func TestExampleSettingsLoad(t *testing.T) {
	for _, deployment := range []string{"room-signage", "kalo-kit"} {
		_, err := settings.LoadNode(filepath.Join(deployment, "node.json"))
		must.NoError(t, err)
		_, err = settings.LoadCtl(filepath.Join(deployment, "ctl.json"))
		must.NoError(t, err)
	}
}
