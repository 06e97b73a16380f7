package spread

import "time"

// elapse advances virtual time. It is for tests in a synctest bubble, where it
// takes no real time.
func elapse(d time.Duration) { time.Sleep(d) }
