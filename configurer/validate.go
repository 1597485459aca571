// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)

// Parse parses a document in JSON with comments and returns all its faults. The document must be
// used only if there are none.
func Parse(text []byte) (*Document, []strictjson.Fault) {
	d := &Document{}
	src, faults := strictjson.Decode(text, d)
	if len(faults) > 0 {
		return d, faults
	}
	return d, setLines(src, d.Validate())
}

// setLines sets the line numbers of faults from their pointers.
func setLines(src *strictjson.Source, faults []strictjson.Fault) []strictjson.Fault {
	for i := range faults {
		faults[i].Line = src.Line(faults[i].Pointer)
	}
	return faults
}

type validator struct {
	faults []strictjson.Fault
}

func (v *validator) check(ok bool, pointer, format string, args ...any) {
	if ok {
		return
	}
	v.faults = append(v.faults, strictjson.Fault{Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

// names checks that names are well-formed and unique and returns them as a set.
func (v *validator) names(list string, n int, name func(i int) string) map[string]bool {
	set := make(map[string]bool, n)
	for i := range n {
		p := fmt.Sprintf("/%s/%d/Name", list, i)
		v.check(namePattern.MatchString(name(i)), p, "%q is not a name", name(i))
		v.check(!set[name(i)], p, "%q stands twice", name(i))
		set[name(i)] = true
	}
	return set
}

// Validate returns all faults in the values of d. The faults have pointers but no line numbers.
func (d *Document) Validate() []strictjson.Fault {
	v := &validator{}
	classes := v.names("Classes", len(d.Classes), func(i int) string { return d.Classes[i].Name })
	v.names("Workspaces", len(d.Workspaces), func(i int) string { return d.Workspaces[i].Name })
	models := v.names("Models", len(d.Models), func(i int) string { return d.Models[i].Name })
	services := v.names("Services", len(d.Services), func(i int) string { return d.Services[i].Name })
	v.names("Upstreams", len(d.Upstreams), func(i int) string { return d.Upstreams[i].Name })
	v.check(len(d.Classes) > 0, "/Classes", "want at least one class")
	v.classes(d.Classes)
	v.workspaces(d.Workspaces, classes)
	for i, m := range d.Models {
		v.check(namePattern.MatchString(m.Version), fmt.Sprintf("/Models/%d/Version", i), "%q is not a version", m.Version)
		v.check(m.Next == "" || namePattern.MatchString(m.Next), fmt.Sprintf("/Models/%d/Next", i), "%q is not a version", m.Next)
		v.check(m.Next == "" || m.Next != m.Version, fmt.Sprintf("/Models/%d/Next", i), "is the same as Version")
	}
	for i := range d.Upstreams {
		v.upstream(fmt.Sprintf("/Upstreams/%d", i), &d.Upstreams[i], models, services)
	}
	v.weights("/Routing", d.Routing)
	v.check(d.Retry.BudgetShare >= 0 && d.Retry.BudgetShare <= 1, "/Retry/BudgetShare", "want 0 to 1")
	v.check(d.Retry.Attempts >= 1 && d.Retry.Attempts <= 10, "/Retry/Attempts", "want 1 to 10")
	v.check(d.Claims.Window > 0, "/Claims/Window", "want more than 0")
	v.check(d.Claims.Timeout > 0 && d.Claims.Timeout < d.Claims.Window, "/Claims/Timeout", "want more than 0 and less than Window")
	v.check(d.Claims.KeptBytes >= 0 && d.Claims.KeptBytes <= 1<<16, "/Claims/KeptBytes", "want 0 to 65536")
	v.check(d.Loads.AtOnce >= 1 && d.Loads.AtOnce <= 100, "/Loads/AtOnce", "want 1 to 100")
	return v.faults
}

func (v *validator) classes(classes []Class) {
	reserved := 0.0
	for i, c := range classes {
		p := fmt.Sprintf("/Classes/%d", i)
		v.check(c.Rank >= 0 && c.Rank < 16, p+"/Rank", "want 0 to 15")
		v.check(c.Weight > 0, p+"/Weight", "want more than 0")
		v.check(c.Reserved >= 0 && c.Reserved < 1, p+"/Reserved", "want at least 0 and less than 1")
		v.check(c.Deadline > 0, p+"/Deadline", "want more than 0")
		if c.Routing != nil {
			v.weights(p+"/Routing", *c.Routing)
		}
		reserved += c.Reserved
	}
	v.check(reserved < 1, "/Classes", "the reserved shares add up to %g; want less than 1", reserved)
}

func (v *validator) workspaces(workspaces []Workspace, classes map[string]bool) {
	digests := make(map[string]bool)
	for i, w := range workspaces {
		p := fmt.Sprintf("/Workspaces/%d", i)
		v.check(len(w.Classes) > 0, p+"/Classes", "want at least one class")
		for j, c := range w.Classes {
			v.check(classes[c], fmt.Sprintf("%s/Classes/%d", p, j), "no class %q", c)
		}
		for j, t := range w.TokenDigests {
			raw, err := hex.DecodeString(t)
			pointer := fmt.Sprintf("%s/TokenDigests/%d", p, j)
			v.check(err == nil && len(raw) == 32, pointer, "want a SHA-256 digest in hexadecimal")
			v.check(!digests[t], pointer, "the digest stands twice")
			digests[t] = true
		}
		v.check(w.Weight > 0, p+"/Weight", "want more than 0")
		v.check(w.RequestsPerSecond > 0, p+"/RequestsPerSecond", "want more than 0")
		v.check(w.Burst >= 1, p+"/Burst", "want at least 1")
		v.check(w.Concurrency > 0, p+"/Concurrency", "want more than 0")
	}
}

func (v *validator) upstream(p string, u *Upstream, models, services map[string]bool) {
	_, err := netip.ParseAddrPort(u.Address)
	v.check(err == nil, p+"/Address", "%q is not IP:port", u.Address)
	v.check(namePattern.MatchString(u.AvailabilityZone), p+"/AvailabilityZone", "%q is not a name", u.AvailabilityZone)
	v.check(u.Slots > 0, p+"/Slots", "want more than 0")
	switch u.Kind {
	case KindEngine:
		v.check(len(u.Models) > 0, p+"/Models", "an engine needs at least one model")
		v.check(u.StoreBlocks >= 0, p+"/StoreBlocks", "want at least 0")
		v.check(u.Service == "", p+"/Service", "an engine has no service")
		v.check(u.PrefillRate > 0, p+"/PrefillRate", "want more than 0")
		v.check(u.LinkRate > 0, p+"/LinkRate", "want more than 0")
		v.check(u.BytesPerToken > 0, p+"/BytesPerToken", "want more than 0")
	case KindService:
		v.check(services[u.Service], p+"/Service", "no service %q", u.Service)
		v.check(len(u.Models) == 0, p+"/Models", "a service has no models")
	default:
		v.check(false, p+"/Kind", "%q is not Engine or Service", u.Kind)
	}
	for j, m := range u.Models {
		v.check(models[m], fmt.Sprintf("%s/Models/%d", p, j), "no model %q", m)
	}
}

func (v *validator) weights(p string, w RoutingWeights) {
	v.check(w.Time > 0, p+"/Time", "want more than 0")
	v.check(w.Recompute >= 0, p+"/Recompute", "want at least 0")
	v.check(w.Link >= 0, p+"/Link", "want at least 0")
	v.check(w.FarZone >= 0, p+"/FarZone", "want at least 0")
}
