package link

import "github.com/jacinthgate/jacinthgate/protocol/message"

// kindNames maps each message kind to its name in metrics.
var kindNames = map[message.Kind]string{
	message.KindHello:          "hello",
	message.KindWelcome:        "welcome",
	message.KindBeacon:         "beacon",
	message.KindAdvert:         "advert",
	message.KindFetch:          "fetch",
	message.KindDelta:          "delta",
	message.KindFull:           "full",
	message.KindAcks:           "acks",
	message.KindRejections:     "rejections",
	message.KindZoneStatus:     "zone_status",
	message.KindRecords:        "records",
	message.KindDigest:         "digest",
	message.KindRecordsRequest: "records_request",
	message.KindDemand:         "demand",
	message.KindShares:         "shares",
	message.KindDocument:       "document",
	message.KindDocumentAdvert: "document_advert",
	message.KindDocumentFetch:  "document_fetch",
	message.KindReaderBeacon:   "reader_beacon",
	message.KindSuspects:       "suspects",
	message.KindSuspectsDigest: "suspects_digest",
	message.KindRollouts:       "rollouts",
	message.KindRolloutsDigest: "rollouts_digest",
	message.KindFreshness:      "freshness",
	message.KindEvacuations:    "evacuations",
}

// kindName returns the name of the kind in metrics.
func kindName(k message.Kind) string {
	if name := kindNames[k]; name != "" {
		return name
	}
	return "unknown"
}

// replacementKey returns the key under which a newer message replaces a queued
// one, or "" for a message that must not be replaced.
func replacementKey(m message.Message) string {
	switch m := m.(type) {
	case *message.Beacon:
		return "beacon/" + string(m.Zone)
	case *message.Advert:
		return "advert"
	case *message.Document:
		return "document"
	case *message.DocumentAdvert:
		return "document_advert"
	case *message.ReaderBeacon:
		return "reader_beacon/" + string(m.Reader)
	case *message.ZoneStatus:
		return "zone_status/" + string(m.Zone)
	case *message.Digest:
		return "digest"
	case *message.SuspectsDigest:
		return "suspects_digest"
	case *message.Freshness:
		return "freshness"
	default:
		return ""
	}
}
