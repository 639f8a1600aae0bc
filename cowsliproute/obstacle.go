package cowsliproute

// Obstacle is why a replica may not be asked, empty if it may.
type Obstacle string

// The obstacles.
const (
	OtherVersion Obstacle = "otherVersion" // its version gets no such request
	OtherDomain  Obstacle = "otherDomain"  // only the instance's own failure domain may be asked
	AlreadyAsked Obstacle = "alreadyAsked" // excluded by PickOptions
	Leaving      Obstacle = "leaving"      // it is shutting down
	Suspended    Obstacle = "suspended"    // a connection ended, and it may have restarted
	NoLimit      Obstacle = "noLimit"      // its limit is 0, as when it is ejected, its failure domain is cut off, or other instances warm it up
	AtLimit      Obstacle = "atLimit"      // its limit of requests in flight is reached
	Paused       Obstacle = "paused"       // it has asked for a pause
	Paced        Obstacle = "paced"        // its rate of requests is used up
	WouldQueue   Obstacle = "wouldQueue"   // the request would have to queue there, against PickOptions.IdleOnly
	NotConfirmed Obstacle = "notConfirmed" // View.Scope is ScopeNone, so no target may be asked; Pick does not check it
	NotServing   Obstacle = "notServing"   // it is no replica, as when its failure domain is taken out or its run is not known yet; Pick is given replicas only
)
