package message

// MethodSurvey asks a process which members of its availability zone hold a revision of
// the tables.
const MethodSurvey = "Tables.Survey"

// SurveyArgs specifies the revision.
type SurveyArgs struct {
	Revision int64
}

// SurveyReply is the result for one availability zone.
type SurveyReply struct {
	// Members is the number of instances listed for the zone.
	Members int `json:"members"`
	// Reached is the number of members that hold the revision or a newer one.
	Reached int `json:"reached"`
	// Missing names the other members, at most MaxMissing of them.
	Missing []string `json:"missing"`
}

// MaxMissing bounds the names in a SurveyReply.
const MaxMissing = 20
