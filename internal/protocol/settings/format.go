package settings

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"github.com/jujubearch/jujubearch/internal/state/model"
)

// Write writes the effective settings, including defaults, in the INI format that Load accepts. The settings contain no
// secrets, only the names of the files that hold them.
func (s *Settings) Write(w io.Writer) error {
	file := ini.Empty()
	put := func(section, key, value string) {
		if value != "" {
			file.Section(section).Key(key).SetValue(value)
		}
	}
	s.writeEntry(put)
	s.writeLimits(put)
	for _, dc := range sortedDataCentres(s.Regions) {
		put(sectionDataCentres, string(dc), string(s.Regions[dc]))
	}
	for _, p := range s.Peers {
		put(sectionPeers, string(p.ID), fmt.Sprintf("%s %s", p.Address, p.DataCentre))
	}
	_, err := file.WriteTo(w)
	return errors.Trace(err)
}

func (s *Settings) writeEntry(put func(section, key, value string)) {
	put("entry", "id", string(s.Entry))
	put("entry", "data_centre", string(s.DataCentre))
	put("entry", "seat", strconv.FormatUint(uint64(s.Seat), 10))
	put("entry", "seats", strconv.FormatUint(uint64(s.Seats), 10))
	put("caller", "listen", s.CallerListen)
	put("peer", "listen", s.PeerListen)
	put("peer", "advertise", s.Advertise)
	put("peer", "plain", strconv.FormatBool(s.PeerPlain))
	put("peer", "certificate_file", s.PeerTLS.CertificateFile)
	put("peer", "key_file", s.PeerTLS.KeyFile)
	put("peer", "authority_file", s.PeerTLS.AuthorityFile)
	put("operator", "listen", s.OperatorListen)
	put("operator", "token_file", s.OperatorTokenFile)
	put("operator", "plain", strconv.FormatBool(s.OperatorPlain))
	put("platform", "store_url", s.StoreURL)
	put("platform", "vm_list_url", s.VMListURL)
	put("platform", "store_region", string(s.StoreRegion))
}

func (s *Settings) writeLimits(put func(section, key, value string)) {
	duration := func(section, key string, d time.Duration) { put(section, key, d.String()) }
	integer := func(section, key string, n int64) { put(section, key, strconv.FormatInt(n, 10)) }
	duration("platform", "store_timeout", s.StoreTimeout)
	duration("caller", "request_timeout", s.RequestTimeout)
	integer("caller", "queue_per_slot", int64(s.QueuePerSlot))
	duration("drain", "lag", s.DrainLag)
	duration("drain", "deadline", s.DrainDeadline)
	integer("limit", "header_bytes", int64(s.MaxHeaderBytes))
	integer("limit", "operator_body_bytes", s.MaxOperatorBodyBytes)
	integer("limit", "keyed_body_bytes", s.MaxKeyedBodyBytes)
	put("log", "level", s.LogLevel)
	put("log", "format", s.LogFormat)
}

func sortedDataCentres(regions map[model.DataCentre]model.Region) []model.DataCentre {
	names := make([]model.DataCentre, 0, len(regions))
	for dc := range regions {
		names = append(names, dc)
	}
	slices.Sort(names)
	return names
}
