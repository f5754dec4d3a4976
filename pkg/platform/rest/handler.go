package rest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/gannetwell/gannetwell/pkg/platform"
)

const maxCallBytes = 16 << 20

// Handler serves p over HTTP.
func Handler(p platform.Platform) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		op := Operation(strings.TrimPrefix(r.URL.Path, "/v1/"))
		var args Call
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
		if err == nil {
			err = json.Unmarshal(body, &args)
		}
		if err != nil {
			writeAnswer(w, http.StatusBadRequest, &Answer{Error: err.Error()})
			return
		}
		ans, err := dispatch(r.Context(), p, op, &args)
		if err != nil {
			writeError(w, err)
			return
		}
		writeAnswer(w, http.StatusOK, ans)
	})
}

func writeAnswer(w http.ResponseWriter, status int, ans *Answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ans) // the client detects a truncated answer
}

// writeError answers with the status from which the client restores the error type.
func writeError(w http.ResponseWriter, err error) {
	var refused platform.ErrRefused
	var notDone platform.ErrNotDone
	switch {
	case errors.As(err, &refused) && refused.Conflict:
		writeAnswer(w, http.StatusConflict, &Answer{Error: refused.Reason})
	case errors.As(err, &refused):
		writeAnswer(w, http.StatusBadRequest, &Answer{Error: refused.Reason})
	case errors.As(err, &notDone):
		if s := int(notDone.RetryAfter.Seconds()); s > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(s))
		}
		writeAnswer(w, http.StatusServiceUnavailable, &Answer{Error: notDone.Cause})
	default:
		panic(http.ErrAbortHandler) // breaks the connection: the outcome is unknown
	}
}

// dispatch calls the method for an operation.
func dispatch(ctx context.Context, p platform.Platform, op Operation, args *Call) (ans *Answer, err error) {
	ans = &Answer{}
	switch op {
	case OpGet:
		var item platform.Item
		item, err = p.Get(ctx, args.Key)
		ans.Item = &item
	case OpScan:
		ans.Items, err = p.Scan(ctx, args.From, args.To, args.Limit)
	case OpCommit:
		if args.Txn == nil {
			return nil, platform.ErrRefused{Op: string(op), Reason: "the call lacks its transaction"}
		}
		err = p.Commit(ctx, *args.Txn)
	case OpPutObject:
		err = p.PutObject(ctx, args.Key, args.Data)
	case OpGetObject:
		ans.Data, err = p.GetObject(ctx, args.Key)
	case OpListObjects:
		ans.Names, err = p.ListObjects(ctx, args.Key)
	case OpListVMs:
		var list platform.VMList
		list, err = p.ListVMs(ctx, args.Zone)
		ans.VMs = &list
	case OpDrain:
		err = p.Drain(ctx, args.VM, args.Boot)
	case OpUndrain:
		err = p.Undrain(ctx, args.VM)
	case OpReboot:
		err = p.Reboot(ctx, args.VM, args.Operation, args.Boot)
	case OpVMStatus:
		var status platform.VMStatus
		status, err = p.VMStatus(ctx, args.VM)
		ans.Status = &status
	default:
		return dispatchTask(ctx, p, op, args)
	}
	return ans, err
}

func dispatchTask(ctx context.Context, p platform.Platform, op Operation, args *Call) (ans *Answer, err error) {
	ans = &Answer{}
	switch op {
	case OpStartTask:
		if args.Task == nil {
			return nil, platform.ErrRefused{Op: string(op), Reason: "the call lacks its task"}
		}
		err = p.StartTask(ctx, *args.Task)
	case OpRenewTask:
		err = p.RenewTask(ctx, args.ID, args.LeaseMs)
	case OpCheckpointTask:
		err = p.CheckpointTask(ctx, args.ID, args.Key)
	case OpThrottleTask:
		err = p.ThrottleTask(ctx, args.ID, args.Cpus)
	case OpStopTask:
		err = p.StopTask(ctx, args.ID)
	case OpReportTasks:
		ans.Reports, err = p.ReportTasks(ctx, args.VM)
	default:
		err = platform.ErrRefused{Op: string(op), Reason: "there is no such operation"}
	}
	return ans, err
}
