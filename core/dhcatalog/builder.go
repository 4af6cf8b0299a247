package dhcatalog

// builderName is the ID and author of the change sets that a Builder applies.
const builderName = "restore"

// Builder rebuilds a catalog from the parts of a stored version, first all objects and then the
// blocks. The content was validated when its change sets were accepted, so an error means that the
// stored copy is corrupt. The zero value is an empty Builder.
type Builder struct {
	objects []Object
	catalog *Catalog // nil before the first blocks
}

// AddObjects adds objects. All objects must be added before the first blocks.
func (b *Builder) AddObjects(list []Object) { b.objects = append(b.objects, list...) }

// AddBlocks adds client blocks.
func (b *Builder) AddBlocks(list []BlockChange) error {
	if len(list) == 0 {
		return nil
	}
	if err := b.applyObjects(); err != nil {
		return err
	}
	return b.follow(ChangeSetOptions{Blocks: list})
}

// applyObjects creates the catalog from the objects unless there is one.
func (b *Builder) applyObjects() error {
	if b.catalog != nil {
		return nil
	}
	b.catalog = New()
	if len(b.objects) == 0 {
		return nil
	}
	return b.follow(ChangeSetOptions{Puts: b.objects})
}

func (b *Builder) follow(o ChangeSetOptions) error {
	o.ID, o.Author, o.Base = builderName, builderName, b.catalog.version
	next, err := b.catalog.Follow(NewChangeSet(o))
	if err == nil {
		b.catalog = next
	}
	return err
}

// Catalog returns the catalog with its version.
func (b *Builder) Catalog(version uint64) (*Catalog, error) {
	if version == 0 {
		return New(), nil
	}
	if err := b.applyObjects(); err != nil {
		return nil, err
	}
	c := *b.catalog
	c.version = version
	c.revisions = map[Kind]uint64{}
	for kind := range b.catalog.revisions {
		c.revisions[kind] = version
	}
	return &c, nil
}
