package gateway

import (
	"cmp"
	"maps"
	"slices"
)

// mainVersion returns the software version that most engines of a backend run, the lowest of them if
// there are several.
func (e *engineRegistry) mainVersion(backend string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.mainVersions[backend]
}

// updateMainVersions determines the main version of every backend.
func (e *engineRegistry) updateMainVersions() {
	e.mainVersions = map[string]string{}
	for backend, backendEngines := range e.byBackend {
		counts := map[string]int{}
		for _, engine := range backendEngines {
			counts[engine.SoftwareVersion]++
		}
		e.mainVersions[backend] = slices.MaxFunc(slices.Sorted(maps.Keys(counts)), func(a, b string) int { return cmp.Compare(counts[a], counts[b]) })
	}
}
