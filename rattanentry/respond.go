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

// jobsPrefix is followed by a key in the paths of one job.
const jobsPrefix = "/v1/jobs/"

// respond writes the answer with its HTTP status.
func respond(ctx khttp.Context, answer rattanjob.Answer) error {
	if answer.RetryAfter > 0 {
		seconds := math.Ceil(answer.RetryAfter.Std().Seconds())
		ctx.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return ctx.JSON(StatusCode(answer), answer)
}

// noRoute answers requests whose path or method no route has. A path of a job
// says nothing about what became of the job.
func noRoute(status int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		answer := rattanjob.RefusedAnswer(rattanjob.ReasonInvalid, fmt.Sprintf("%.8s %.200s: no such route", request.Method, request.URL.Path))
		if strings.HasPrefix(request.URL.Path, jobsPrefix) {
			answer = *unanswered("", answer)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(answer)
	})
}

// StatusCode returns the HTTP status of an answer.
func StatusCode(answer rattanjob.Answer) int {
	if code, ok := reasonCodes[answer.Reason]; ok {
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

// reasonCodes has the reasons that decide the status whatever the state.
var reasonCodes = map[rattanjob.Reason]int{
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
