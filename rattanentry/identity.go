package rattanentry

import (
	"net/http"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankeys"
)

// Headers that name the requester on connections without TLS.
const (
	HeaderCaller   = "Caller"
	HeaderOperator = "Operator"
)

// callerName returns the name of the caller: with TLS from its certificate,
// otherwise from the header Caller.
func callerName(request *http.Request) (string, *rattanjob.Answer) {
	return requesterName(request, rattankeys.RoleCaller, HeaderCaller)
}

// operatorName returns the name of the operator: with TLS from its certificate,
// otherwise from the header Operator.
func operatorName(request *http.Request) (string, *rattanjob.Answer) {
	return requesterName(request, rattankeys.RoleOperator, HeaderOperator)
}

// requesterName returns the name of the requester, or a refusal if the request
// does not name one for the role.
func requesterName(request *http.Request, role rattankeys.Role, header string) (string, *rattanjob.Answer) {
	name, expected := request.Header.Get(header), "header "+header
	if request.TLS != nil {
		name, expected = certificateName(request, role), "a client certificate of the role "+role.String()
	}
	if name == "" {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonUnauthorized, expected+": required")
		return "", &refusal
	}
	return name, nil
}

// certificateName returns the name in the client certificate, or "" if the
// certificate is missing or is for another role.
func certificateName(request *http.Request, role rattankeys.Role) string {
	identity, err := rattankeys.IdentityOf(*request.TLS)
	if err != nil || identity.Require(role) != nil {
		return ""
	}
	return identity.Name
}
