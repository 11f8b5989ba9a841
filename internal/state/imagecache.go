package state

// CachedImage is an image in a worker's cache.
type CachedImage struct {
	Name   string
	SizeGB float64
}

// AddCachedImage records that the worker has fetched or used a job's image, which becomes
// the most recently used one. If the image was not cached, the least recently used images
// that no longer fit into a cache of cacheGB are removed.
func (m *Machine) AddCachedImage(j *Job, cacheGB float64) {
	for i, image := range m.CachedImages {
		if image.Name == j.Spec.Image {
			m.CachedImages = append(append(m.CachedImages[:i:i], m.CachedImages[i+1:]...), image)
			return
		}
	}
	m.CachedImages = append(m.CachedImages, CachedImage{j.Spec.Image, j.Spec.ImageGB})
	totalGB := 0.0
	for _, image := range m.CachedImages {
		totalGB += image.SizeGB
	}
	for len(m.CachedImages) > 1 && totalGB > cacheGB {
		totalGB -= m.CachedImages[0].SizeGB
		m.CachedImages = m.CachedImages[1:]
	}
}

// HasCachedImage reports whether the worker has the image in its cache.
func (m *Machine) HasCachedImage(name string) bool {
	for _, image := range m.CachedImages {
		if image.Name == name {
			return true
		}
	}
	return false
}
