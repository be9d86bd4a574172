package rattanentry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/rattanlever/rattanlever/rattanjob"
)

// jobsPrefix is the prefix of paths that name one job; the key follows.
const jobsPrefix = "/v1/jobs/"

// respond writes the answer with the HTTP status code that belongs to it.
func respond(ctx khttp.Context, answer rattanjob.Answer) error {
	if answer.RetryAfter > 0 {
		seconds := math.Ceil(answer.RetryAfter.Std().Seconds())
		ctx.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return ctx.JSON(StatusCode(answer), answer)
}

// unknownRouteHandler answers requests whose path or method matches no route.
// For a path of a job the answer leaves the outcome of the job open.
func unknownRouteHandler(status int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		answer := rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, fmt.Sprintf("%.8s %.200s: no such route", request.Method, request.URL.Path))
		if strings.HasPrefix(request.URL.Path, jobsPrefix) {
			answer = *unknownOutcome("", answer)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(answer)
	})
}

// StatusCode returns the HTTP status code of an answer.
func StatusCode(answer rattanjob.Answer) int {
	if code, ok := reasonStatus[answer.Reason]; ok {
		return code
	}
	switch answer.State {
	case rattanjob.StateComplete, rattanjob.StateCancelled:
		return http.StatusOK
	case rattanjob.StateRunning:
		return http.StatusAccepted
	case rattanjob.StateRefused:
		return http.StatusTooManyRequests
	case rattanjob.StateFailed:
		if answer.Reason == rattanjob.ReasonDeadlinePassed {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// reasonStatus holds the reasons that determine the status code regardless of
// the state.
var reasonStatus = map[rattanjob.Reason]int{
	rattanjob.ReasonBodyTooLarge:  http.StatusRequestEntityTooLarge,
	rattanjob.ReasonConflict:      http.StatusConflict,
	rattanjob.ReasonHomeLost:      http.StatusGone,
	rattanjob.ReasonInvalid:       http.StatusBadRequest,
	rattanjob.ReasonKeyExpired:    http.StatusGone,
	rattanjob.ReasonKeyUnknown:    http.StatusNotFound,
	rattanjob.ReasonNeverRunnable: http.StatusUnprocessableEntity,
	rattanjob.ReasonUnauthorized:  http.StatusUnauthorized,
	rattanjob.ReasonUnknownCaller: http.StatusForbidden,
	rattanjob.ReasonUnknownKind:   http.StatusUnprocessableEntity,
}
