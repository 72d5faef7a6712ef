package blocklist

// suspects is a set of IDs of parts that keeps the order in which they were added.
type suspects struct {
	// ids may also hold removed IDs; index holds where each ID of the set stands there.
	ids   []string
	index map[string]int
}

// minCompacted is the number of IDs below which removed ones are kept.
const minCompacted = 16

func (s *suspects) has(id string) bool {
	_, found := s.index[id]
	return found
}

func (s *suspects) size() int { return len(s.index) }

func (s *suspects) add(id string) {
	if s.has(id) {
		return
	}
	if s.index == nil {
		s.index = map[string]int{}
	}
	s.index[id] = len(s.ids)
	s.ids = append(s.ids, id)
}

func (s *suspects) remove(id string) {
	delete(s.index, id)
	if len(s.ids) < minCompacted || len(s.ids) < 2*len(s.index) {
		return
	}
	s.ids = s.list()
	for i, kept := range s.ids {
		s.index[kept] = i
	}
}

// list returns the IDs in their order.
func (s *suspects) list() []string {
	list := make([]string, 0, len(s.index))
	for i, id := range s.ids {
		if at, found := s.index[id]; found && at == i {
			list = append(list, id)
		}
	}
	return list
}
