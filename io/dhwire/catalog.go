// Package dhwire converts the core's types to the protobuf messages of the
// schema and back, one file for each file of the schema. The same protobuf
// messages are used between processes, in data folders and in the operators'
// API.
package dhwire

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"dogwoodhitch/core/dhcatalog"
	"dogwoodhitch/core/dhclock"
	"dogwoodhitch/io/dhproto"
)

// FormatError reports a protobuf message that can't be converted.
type FormatError struct {
	field  string
	found  string
	remedy string
}

// Field returns the invalid field.
func (e FormatError) Field() string { return e.field }

// Found returns the invalid value, or a description of it.
func (e FormatError) Found() string { return e.found }

// Remedy returns what to do about it.
func (e FormatError) Remedy() string { return e.remedy }

// Error implements error.
func (e FormatError) Error() string {
	return fmt.Sprintf("%s: found %s; %s", e.field, e.found, e.remedy)
}

// ObjectToWire converts an object to protobuf.
func ObjectToWire(o dhcatalog.Object) *dhproto.Object {
	switch o := o.(type) {
	case dhcatalog.Zone:
		return &dhproto.Object{Object: &dhproto.Object_Zone{Zone: &dhproto.Zone{Name: o.Name(), Region: o.Region()}}}
	case dhcatalog.Instance:
		return &dhproto.Object{Object: &dhproto.Object_Instance{Instance: instanceToWire(o)}}
	case dhcatalog.Organisation:
		return &dhproto.Object{Object: &dhproto.Object_Organisation{Organisation: &dhproto.Organisation{
			Name: o.Name(), StaleGraceMs: int32(o.StaleGrace()), Weight: int32(o.Weight()),
			Rank: int32(o.Rank()), Homes: o.HomeRegions(),
		}}}
	case dhcatalog.Key:
		hash := o.Hash()
		return &dhproto.Object{Object: &dhproto.Object_Key{Key: &dhproto.Key{
			Name: o.Name(), Organisation: o.Organisation(), Hash: hex.EncodeToString(hash[:]),
		}}}
	case dhcatalog.Service:
		return &dhproto.Object{Object: &dhproto.Object_Service{Service: &dhproto.Service{
			Name: o.Name(), SpillPercent: int32(o.SpillPercent()), ColdStartMs: int32(o.ColdStart()),
			ColdRateMilli: int32(o.ColdRate()), MaxConnections: int32(o.MaxConnections()), HealthPath: o.HealthPath(),
		}}}
	case dhcatalog.Route:
		return &dhproto.Object{Object: &dhproto.Object_Route{Route: routeToWire(o)}}
	case dhcatalog.Limit:
		return &dhproto.Object{Object: &dhproto.Object_Limit{Limit: &dhproto.Limit{
			Name: o.Name(), Organisation: o.Organisation(), Rate: int32(o.Rate()), Burst: int32(o.Burst()),
			FloorPercent: int32(o.FloorPercent()),
		}}}
	case dhcatalog.Objective:
		return &dhproto.Object{Object: &dhproto.Object_Objective{Objective: &dhproto.Objective{
			Name: o.Name(), Route: o.Route(), TargetPerMillion: int32(o.TargetPerMillion()), LatencyMs: int32(o.Latency()),
		}}}
	case dhcatalog.Site:
		return &dhproto.Object{Object: &dhproto.Object_Site{Site: &dhproto.Site{
			Name: o.Name(), Zone: o.Zone(), TimeToLiveMs: int32(o.TimeToLive()), Default: o.Default(),
		}}}
	case dhcatalog.Drain:
		return &dhproto.Object{Object: &dhproto.Object_Drain{Drain: &dhproto.Drain{
			Name: o.Name(), TargetKind: string(o.Target().Kind()), Target: o.Target().Name(),
			RampMs: int32(o.Ramp()), Paused: o.Paused(), MovedPercent: int32(o.MovedPercent()),
		}}}
	case dhcatalog.Link:
		return &dhproto.Object{Object: &dhproto.Object_Link{Link: &dhproto.Link{
			Name: o.Name(), Region: o.Regions()[0], OtherRegion: o.Regions()[1], KilobytesPerSecond: int32(o.KilobytesPerSecond()),
		}}}
	case dhcatalog.Upstream:
		return &dhproto.Object{Object: &dhproto.Object_Upstream{Upstream: &dhproto.Upstream{
			Name: o.Name(), Service: o.Service(), Address: o.Address(), Zone: o.Zone(), Slots: int32(o.Slots()),
			State: int32(o.State()), Lifetime: o.Incarnation(), ColdMs: int32(o.ColdRemaining()), ColdWord: o.ColdReportID(),
		}}}
	case dhcatalog.Evacuation:
		return &dhproto.Object{Object: &dhproto.Object_Evacuation{Evacuation: &dhproto.Evacuation{Zone: o.Zone()}}}
	case dhcatalog.Declaration:
		return &dhproto.Object{Object: &dhproto.Object_Declaration{Declaration: &dhproto.Declaration{
			Number: o.Number(), Text: o.Text(), TextOmitted: o.TextOmitted(),
		}}}
	default:
		return &dhproto.Object{}
	}
}

func instanceToWire(o dhcatalog.Instance) *dhproto.Instance {
	return &dhproto.Instance{Name: o.Name(), Zone: o.Zone(), CallerAddress: o.CallerAddress(), PeerAddress: o.PeerAddress()}
}

func instanceFromWire(m *dhproto.Instance) dhcatalog.Instance {
	return dhcatalog.NewInstance(dhcatalog.InstanceOptions{
		Name: m.GetName(), Zone: m.GetZone(), CallerAddress: m.GetCallerAddress(), PeerAddress: m.GetPeerAddress(),
	})
}

func routeToWire(o dhcatalog.Route) *dhproto.Route {
	m := &dhproto.Route{
		Name: o.Name(), PathPrefix: o.PathPrefix(), Service: o.Service(), Open: o.Open(),
		Idempotent: o.Idempotent(), ClaimRequired: o.ClaimRequired(), TimeoutMs: int32(o.Timeout()),
		QueueWaitMs: int32(o.ConfiguredQueueWait()), Priority: int32(o.Priority()), RetentionMs: int32(o.Retention()),
		Host: o.Host(), ObjectiveMs: int32(o.Objective()), MaxAttempts: int32(o.ConfiguredAttempts()),
		Affinity: o.Affinity(), Homes: o.HomeRegions(),
	}
	for _, w := range o.Split() {
		m.Split = append(m.Split, &dhproto.Weighted{Service: w.Service(), Weight: int32(w.Weight())})
	}
	return m
}

func objectsToWire(list []dhcatalog.Object) []*dhproto.Object {
	out := make([]*dhproto.Object, 0, len(list))
	for _, o := range list {
		out = append(out, ObjectToWire(o))
	}
	return out
}

func objectsFromWire(list []*dhproto.Object) ([]dhcatalog.Object, error) {
	out := make([]dhcatalog.Object, 0, len(list))
	for _, w := range list {
		o, err := ObjectFromWire(w)
		if err != nil {
			return nil, err
		}
		out = append(out, o)
	}
	return out, nil
}

func refsToWire(list []dhcatalog.Ref) []*dhproto.Ref {
	out := make([]*dhproto.Ref, 0, len(list))
	for _, r := range list {
		out = append(out, &dhproto.Ref{Kind: string(r.Kind()), Name: r.Name()})
	}
	return out
}

func refsFromWire(list []*dhproto.Ref) []dhcatalog.Ref {
	out := make([]dhcatalog.Ref, 0, len(list))
	for _, r := range list {
		out = append(out, dhcatalog.NewRef(dhcatalog.Kind(r.GetKind()), r.GetName()))
	}
	return out
}

// ObjectFromWire converts an object from protobuf, or returns a FormatError.
func ObjectFromWire(m *dhproto.Object) (dhcatalog.Object, error) {
	switch o := m.GetObject().(type) {
	case *dhproto.Object_Zone:
		return dhcatalog.NewZone(dhcatalog.ZoneOptions{Name: o.Zone.GetName(), Region: o.Zone.GetRegion()}), nil
	case *dhproto.Object_Instance:
		return instanceFromWire(o.Instance), nil
	case *dhproto.Object_Organisation:
		return dhcatalog.NewOrganisation(dhcatalog.OrganisationOptions{
			Name: o.Organisation.GetName(), StaleGrace: dhclock.Millis(o.Organisation.GetStaleGraceMs()),
			Weight: int(o.Organisation.GetWeight()), Rank: int(o.Organisation.GetRank()), HomeRegions: o.Organisation.GetHomes(),
		}), nil
	case *dhproto.Object_Key:
		return keyFromWire(o.Key)
	case *dhproto.Object_Service:
		return dhcatalog.NewService(dhcatalog.ServiceOptions{
			Name: o.Service.GetName(), SpillPercent: int(o.Service.GetSpillPercent()),
			ColdStart: dhclock.Millis(o.Service.GetColdStartMs()), ColdRate: int64(o.Service.GetColdRateMilli()),
			MaxConnections: int(o.Service.GetMaxConnections()), HealthPath: o.Service.GetHealthPath(),
		}), nil
	case *dhproto.Object_Route:
		return routeFromWire(o.Route), nil
	case *dhproto.Object_Limit:
		return dhcatalog.NewLimit(dhcatalog.LimitOptions{
			Name: o.Limit.GetName(), Organisation: o.Limit.GetOrganisation(),
			Rate: int64(o.Limit.GetRate()), Burst: int64(o.Limit.GetBurst()),
			FloorPercent: int(o.Limit.GetFloorPercent()),
		}), nil
	case *dhproto.Object_Objective:
		return dhcatalog.NewObjective(dhcatalog.ObjectiveOptions{
			Name: o.Objective.GetName(), Route: o.Objective.GetRoute(),
			TargetPerMillion: int64(o.Objective.GetTargetPerMillion()), Latency: dhclock.Millis(o.Objective.GetLatencyMs()),
		}), nil
	case *dhproto.Object_Site:
		return dhcatalog.NewSite(dhcatalog.SiteOptions{
			Name: o.Site.GetName(), Zone: o.Site.GetZone(),
			TimeToLive: dhclock.Millis(o.Site.GetTimeToLiveMs()), Default: o.Site.GetDefault(),
		}), nil
	case *dhproto.Object_Drain:
		return dhcatalog.NewDrain(dhcatalog.DrainOptions{
			Name: o.Drain.GetName(), Target: dhcatalog.NewRef(dhcatalog.Kind(o.Drain.GetTargetKind()), o.Drain.GetTarget()),
			Ramp: dhclock.Millis(o.Drain.GetRampMs()), Paused: o.Drain.GetPaused(), MovedPercent: int(o.Drain.GetMovedPercent()),
		}), nil
	case *dhproto.Object_Link:
		return dhcatalog.NewLink(dhcatalog.LinkOptions{
			Name: o.Link.GetName(), Regions: [2]string{o.Link.GetRegion(), o.Link.GetOtherRegion()},
			KilobytesPerSecond: int64(o.Link.GetKilobytesPerSecond()),
		}), nil
	case *dhproto.Object_Upstream:
		return dhcatalog.NewUpstream(dhcatalog.UpstreamOptions{
			Name: o.Upstream.GetName(), Service: o.Upstream.GetService(), Address: o.Upstream.GetAddress(),
			Zone: o.Upstream.GetZone(), Slots: int(o.Upstream.GetSlots()),
			State: dhcatalog.UpstreamState(o.Upstream.GetState()), Incarnation: o.Upstream.GetLifetime(),
			ColdRemaining: dhclock.Millis(o.Upstream.GetColdMs()), ColdReportID: o.Upstream.GetColdWord(),
		}), nil
	case *dhproto.Object_Evacuation:
		return dhcatalog.NewEvacuation(o.Evacuation.GetZone()), nil
	case *dhproto.Object_Declaration:
		d := dhcatalog.NewDeclaration(o.Declaration.GetNumber(), o.Declaration.GetText())
		if o.Declaration.GetTextOmitted() {
			d = d.WithoutText()
		}
		return d, nil
	default:
		return nil, FormatError{"object", "no kind", "set exactly one kind, such as {\"zone\": {…}}"}
	}
}

func routeFromWire(m *dhproto.Route) dhcatalog.Route {
	o := dhcatalog.RouteOptions{
		Name: m.GetName(), PathPrefix: m.GetPathPrefix(), Service: m.GetService(), Open: m.GetOpen(),
		Idempotent: m.GetIdempotent(), ClaimRequired: m.GetClaimRequired(),
		Timeout: dhclock.Millis(m.GetTimeoutMs()), QueueWait: dhclock.Millis(m.GetQueueWaitMs()),
		Priority: int(m.GetPriority()), Retention: dhclock.Millis(m.GetRetentionMs()),
		Host: m.GetHost(), Objective: dhclock.Millis(m.GetObjectiveMs()), MaxAttempts: int(m.GetMaxAttempts()),
		Affinity: m.GetAffinity(), HomeRegions: m.GetHomes(),
	}
	for _, w := range m.GetSplit() {
		o.Split = append(o.Split, dhcatalog.NewWeightedService(w.GetService(), int(w.GetWeight())))
	}
	return dhcatalog.NewRoute(o)
}

func keyFromWire(m *dhproto.Key) (dhcatalog.Object, error) {
	o := dhcatalog.KeyOptions{Name: m.GetName(), Organisation: m.GetOrganisation()}
	hash, err := hex.DecodeString(m.GetHash())
	if err != nil || len(hash) != 0 && len(hash) != dhcatalog.HashSize {
		return nil, FormatError{"key/" + m.GetName() + " hash", "a value that is not a hexadecimal SHA-256 hash", "use 64 hexadecimal digits, or send the secret instead"}
	}
	copy(o.Hash[:], hash)
	return dhcatalog.NewKey(o), nil
}

// BlockFromWire converts an IP prefix, such as 203.0.113.0/24, to a block, or
// returns a FormatError.
func BlockFromWire(text string) (dhcatalog.Block, error) {
	p, err := netip.ParsePrefix(text)
	if err != nil || p != p.Masked() {
		return dhcatalog.Block{}, FormatError{"block", text, "use an IP prefix without host bits, such as 203.0.113.0/24"}
	}
	start, ipv6 := AddressBits(p.Addr())
	if p.Bits() > dhcatalog.MaxBlockBits {
		return dhcatalog.Block{}, FormatError{"block", text, "use an IPv6 prefix of at most 64 bits"}
	}
	return dhcatalog.NewBlock(start, p.Bits(), ipv6), nil
}

// AddressBits returns an IPv4 address left-aligned in 64 bits, or the first 64
// bits of an IPv6 address. An IPv4 address mapped to IPv6 counts as IPv4.
func AddressBits(a netip.Addr) (bits uint64, ipv6 bool) {
	a = a.Unmap()
	if a.Is4() {
		b := a.As4()
		for _, x := range b {
			bits = bits<<8 | uint64(x)
		}
		return bits << 32, false
	}
	b := a.As16()
	for _, x := range b[:8] {
		bits = bits<<8 | uint64(x)
	}
	return bits, true
}

// BlockToWire converts a block to an IP prefix.
func BlockToWire(b dhcatalog.Block) string {
	var raw [16]byte
	for i := range 8 {
		raw[i] = byte(b.Start() >> (56 - 8*i))
	}
	address := netip.AddrFrom16(raw)
	if !b.IPv6() {
		address = netip.AddrFrom4([4]byte(raw[:4]))
	}
	return netip.PrefixFrom(address, b.Bits()).String()
}

// ChangeSetToWire converts a change set to protobuf.
func ChangeSetToWire(c dhcatalog.ChangeSet) *dhproto.ChangeSet {
	m := &dhproto.ChangeSet{
		Id: c.ID(), Base: uint32(c.Base()), Author: c.Author(), Puts: objectsToWire(c.Puts()), Deletes: refsToWire(c.Deletes()),
	}
	for _, b := range c.Blocks() {
		m.Blocks = append(m.Blocks, &dhproto.BlockChange{Block: BlockToWire(b.Block()), Site: b.Site()})
	}
	return m
}

// ChangeSetFromWire converts a change set from protobuf, or returns a
// FormatError. It computes the digest of the change set.
func ChangeSetFromWire(m *dhproto.ChangeSet) (dhcatalog.ChangeSet, error) {
	puts, err := objectsFromWire(m.GetPuts())
	if err != nil {
		return dhcatalog.ChangeSet{}, err
	}
	o := dhcatalog.ChangeSetOptions{
		ID: m.GetId(), Base: uint64(m.GetBase()), Author: m.GetAuthor(), Puts: puts, Deletes: refsFromWire(m.GetDeletes()),
	}
	for _, w := range m.GetBlocks() {
		b, err := BlockFromWire(w.GetBlock())
		if err != nil {
			return dhcatalog.ChangeSet{}, err
		}
		o.Blocks = append(o.Blocks, dhcatalog.NewBlockChange(b, w.GetSite()))
	}
	// The digest is computed over the change set converted back to protobuf, not
	// over the received message. So it is the same after any number of
	// conversions.
	digest, err := changeSetDigest(ChangeSetToWire(dhcatalog.NewChangeSet(o)))
	o.Digest = digest
	return dhcatalog.NewChangeSet(o), err
}

// catalogToWire converts a complete configuration to protobuf.
func catalogToWire(c *dhcatalog.Catalog) *dhproto.Catalog {
	if c == nil {
		return nil
	}
	m := &dhproto.Catalog{Version: c.Version()}
	for _, k := range dhcatalog.Kinds() {
		m.Objects = append(m.Objects, objectsToWire(c.List(k))...)
	}
	t := newBlockTable()
	c.EachBlock(t.add)
	m.Blocks = t.table
	return m
}

// blockTable collects client blocks in the columns of a protobuf table.
type blockTable struct {
	table       *dhproto.BlockTable
	siteNumbers map[string]uint32
}

func newBlockTable() *blockTable {
	return &blockTable{table: &dhproto.BlockTable{}, siteNumbers: map[string]uint32{}}
}

func (t *blockTable) add(b dhcatalog.Block, site string) {
	n, found := t.siteNumbers[site]
	if !found {
		n = uint32(len(t.table.SiteNames))
		t.siteNumbers[site] = n
		t.table.SiteNames = append(t.table.SiteNames, site)
	}
	t.table.Starts = append(t.table.Starts, b.Start())
	t.table.Bits = append(t.table.Bits, byte(b.Bits()))
	t.table.Sites = append(t.table.Sites, n)
	t.table.Families = append(t.table.Families, familyOf(b))
}

// The address families in a BlockTable.
const (
	familyIPv4 byte = 4
	familyIPv6 byte = 6
)

func familyOf(b dhcatalog.Block) byte {
	if b.IPv6() {
		return familyIPv6
	}
	return familyIPv4
}

// blocksAtOnce is the number of client blocks that are converted from protobuf together.
const blocksAtOnce = 32 << 10

// addCatalogFromWire adds the objects and blocks of a configuration, or of a part of one, to a
// builder.
func addCatalogFromWire(b *dhcatalog.Builder, m *dhproto.Catalog) error {
	objects, err := objectsFromWire(m.GetObjects())
	if err != nil {
		return err
	}
	b.AddObjects(objects)
	t := m.GetBlocks()
	if len(t.GetBits()) != len(t.GetStarts()) || len(t.GetSites()) != len(t.GetStarts()) || len(t.GetFamilies()) != len(t.GetStarts()) {
		return FormatError{"blocks", "columns of different lengths", "read the configuration from another copy"}
	}
	for first := 0; first < len(t.GetStarts()); first += blocksAtOnce {
		blocks := make([]dhcatalog.BlockChange, 0, blocksAtOnce)
		for i := first; i < min(first+blocksAtOnce, len(t.GetStarts())); i++ {
			n := t.GetSites()[i]
			if int(n) >= len(t.GetSiteNames()) {
				return FormatError{"blocks", "the number of an unknown site", "read the configuration from another copy"}
			}
			b := dhcatalog.NewBlock(t.GetStarts()[i], int(t.GetBits()[i]), t.GetFamilies()[i] == familyIPv6)
			blocks = append(blocks, dhcatalog.NewBlockChange(b, t.GetSiteNames()[n]))
		}
		if err := b.AddBlocks(blocks); err != nil {
			return fmt.Errorf("restore client blocks: %w", err)
		}
	}
	return nil
}

func catalogFromWire(m *dhproto.Catalog) (*dhcatalog.Catalog, error) {
	if m == nil {
		return nil, nil
	}
	b := &dhcatalog.Builder{}
	if err := addCatalogFromWire(b, m); err != nil {
		return nil, err
	}
	return buildCatalog(b, m.GetVersion())
}

func buildCatalog(b *dhcatalog.Builder, version uint64) (*dhcatalog.Catalog, error) {
	c, err := b.Catalog(version)
	if err != nil {
		return nil, fmt.Errorf("restore configuration version %d: %w", version, err)
	}
	return c, nil
}
