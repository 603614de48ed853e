package request

// waitInQueue passes the request on.
func waitInQueue(x *exchange) error { return x.next() }

type queues struct{ service *Service }
