package rattanentry

import (
	"net/http"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// Headers that name the requesting party where there is no TLS.
const (
	HeaderCaller   = "Caller"
	HeaderOperator = "Operator"
)

// Organisational units of client certificates.
const (
	roleCaller   = "Caller"
	roleOperator = "Operator"
)

// identify returns the name of the caller: that of its certificate, or, where
// there is no TLS, that of the header Caller.
func identify(request *http.Request) (string, *rattanjob.Answer) {
	return identifyAs(request, roleCaller, HeaderCaller)
}

// identifyOperator returns the name of the operator.
func identifyOperator(request *http.Request) (string, *rattanjob.Answer) {
	return identifyAs(request, roleOperator, HeaderOperator)
}

func identifyAs(request *http.Request, role, header string) (string, *rattanjob.Answer) {
	if request.TLS != nil {
		return certificateName(request, role)
	}
	if name := request.Header.Get(header); name != "" {
		return name, nil
	}
	refusal := rattanjob.Refusal(rattanjob.ReasonUnauthorized, "header "+header+": required")
	return "", &refusal
}

func certificateName(request *http.Request, role string) (string, *rattanjob.Answer) {
	for _, chain := range request.TLS.VerifiedChains {
		subject := chain[0].Subject
		for _, unit := range subject.OrganizationalUnit {
			if unit == role && subject.CommonName != "" {
				return subject.CommonName, nil
			}
		}
	}
	refusal := rattanjob.Refusal(rattanjob.ReasonUnauthorized, "a client certificate of the role "+role+" is required")
	return "", &refusal
}
