package duty

import "time"

// TablesPlan returns the plan for a collection whose changes have to be in force
// within apply.
func TablesPlan(apply time.Duration) Plan {
	return Plan{Wait: 1100 * time.Millisecond, MaxAge: 2900 * time.Millisecond}
}
