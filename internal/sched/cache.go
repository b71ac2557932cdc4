package sched

// Cache models which images a machine has. Like the workers, it keeps the most
// recently used images up to its size. The last one is kept even if it is larger.
type Cache struct {
	SizeGB float64
	images []image // least recently used first
}

type image struct {
	name string
	gb   float64
}

// Has reports whether the machine has the image according to the model.
func (c *Cache) Has(name string) bool { return c.indexOf(name) >= 0 }

func (c *Cache) indexOf(name string) int {
	for i := range c.images {
		if c.images[i].name == name {
			return i
		}
	}
	return -1
}

// Use records that a task uses the image now. It adds the image if it is missing, and
// removes the least recently used images while all together exceed the size.
func (c *Cache) Use(name string, gb float64) {
	if i := c.indexOf(name); i >= 0 {
		c.images = append(c.images[:i], c.images[i+1:]...)
	}
	c.images = append(c.images, image{name, gb})
	used := 0.0
	for _, im := range c.images {
		used += im.gb
	}
	for used > c.SizeGB && len(c.images) > 1 {
		used -= c.images[0].gb
		c.images = c.images[1:]
	}
}
