package request

// checkQuarantine reads the body.
func checkQuarantine(x *exchange) error {
	if err := x.readBody(); err != nil {
		return err
	}
	return x.next()
}

type suspects struct{ service *Service }
