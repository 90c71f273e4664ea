package message

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Welcome) Kind() Kind { return KindWelcome }

// Kind implements Message.
func (*Beacon) Kind() Kind { return KindBeacon }

// Kind implements Message.
func (*Advert) Kind() Kind { return KindAdvert }

// Kind implements Message.
func (*Fetch) Kind() Kind { return KindFetch }

// Kind implements Message.
func (*Delta) Kind() Kind { return KindDelta }

// Kind implements Message.
func (*Full) Kind() Kind { return KindFull }

// Kind implements Message.
func (*Acks) Kind() Kind { return KindAcks }

// Kind implements Message.
func (*Rejections) Kind() Kind { return KindRejections }

// Kind implements Message.
func (*ZoneStatus) Kind() Kind { return KindZoneStatus }

// Kind implements Message.
func (*Records) Kind() Kind { return KindRecords }

// Kind implements Message.
func (*Digest) Kind() Kind { return KindDigest }

// Kind implements Message.
func (*RecordsRequest) Kind() Kind { return KindRecordsRequest }

// Kind implements Message.
func (*Demand) Kind() Kind { return KindDemand }

// Kind implements Message.
func (*Shares) Kind() Kind { return KindShares }

// Kind implements Message.
func (*Document) Kind() Kind { return KindDocument }

// Kind implements Message.
func (*DocumentAdvert) Kind() Kind { return KindDocumentAdvert }

// Kind implements Message.
func (*DocumentFetch) Kind() Kind { return KindDocumentFetch }

// Kind implements Message.
func (*ReaderBeacon) Kind() Kind { return KindReaderBeacon }

// newOf returns an empty message of the kind, or nil for an unknown kind.
func newOf(k Kind) Message {
	switch k {
	case KindHello:
		return new(Hello)
	case KindWelcome:
		return new(Welcome)
	case KindBeacon:
		return new(Beacon)
	case KindAdvert:
		return new(Advert)
	case KindFetch:
		return new(Fetch)
	case KindDelta:
		return new(Delta)
	case KindFull:
		return new(Full)
	case KindAcks:
		return new(Acks)
	case KindRejections:
		return new(Rejections)
	case KindZoneStatus:
		return new(ZoneStatus)
	case KindRecords:
		return new(Records)
	case KindDigest:
		return new(Digest)
	case KindRecordsRequest:
		return new(RecordsRequest)
	case KindDemand:
		return new(Demand)
	case KindShares:
		return new(Shares)
	case KindDocument:
		return new(Document)
	case KindDocumentAdvert:
		return new(DocumentAdvert)
	case KindDocumentFetch:
		return new(DocumentFetch)
	case KindReaderBeacon:
		return new(ReaderBeacon)
	case KindSuspects:
		return new(Suspects)
	case KindSuspectsDigest:
		return new(SuspectsDigest)
	case KindRollouts:
		return new(Rollouts)
	case KindRolloutsDigest:
		return new(RolloutsDigest)
	case KindFreshness:
		return new(Freshness)
	case KindEvacuations:
		return new(Evacuations)
	default:
		return nil
	}
}
