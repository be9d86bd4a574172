package rattanentry

import (
	"net/http"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankeys"
)

// Headers that name the requesting party where there is no TLS.
const (
	HeaderCaller   = "Caller"
	HeaderOperator = "Operator"
)

// identify returns the name of the caller: that of its certificate, or, where
// there is no TLS, that of the header Caller.
func identify(request *http.Request) (string, *rattanjob.Answer) {
	return identifyAs(request, rattankeys.RoleCaller, HeaderCaller)
}

// identifyOperator returns the name of the operator.
func identifyOperator(request *http.Request) (string, *rattanjob.Answer) {
	return identifyAs(request, rattankeys.RoleOperator, HeaderOperator)
}

func identifyAs(request *http.Request, role rattankeys.Role, header string) (string, *rattanjob.Answer) {
	name, wanted := request.Header.Get(header), "header "+header
	if request.TLS != nil {
		name, wanted = certificateName(request, role), "a client certificate of the role "+role.String()
	}
	if name == "" {
		refusal := rattanjob.RefusedAnswer(rattanjob.ReasonUnauthorized, wanted+": required")
		return "", &refusal
	}
	return name, nil
}

func certificateName(request *http.Request, role rattankeys.Role) string {
	identity, err := rattankeys.IdentityOf(*request.TLS)
	if err != nil || identity.Require(role) != nil {
		return ""
	}
	return identity.Name
}
