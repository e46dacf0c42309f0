"""The exception hierarchy, with a type for each failure of galenatack.

The types are defined in private modules, grouped by cause, and re-exported
here, as in `exceptions.NotFoundError`.
"""

from galenatack.exceptions import _admin_errors
from galenatack.exceptions import _base
from galenatack.exceptions import _call_errors
from galenatack.exceptions import _invariant_errors
from galenatack.exceptions import _move_errors
from galenatack.exceptions import _peer_errors
from galenatack.exceptions import _platform_errors
from galenatack.exceptions import _posting_errors
from galenatack.exceptions import _settings_errors
from galenatack.exceptions import _target_errors
from galenatack.exceptions import _tool_errors

GalenatackError = _base.GalenatackError
SettingsError = _settings_errors.SettingsError
ProfileInvalidError = _settings_errors.ProfileInvalidError
VersionConflictError = _settings_errors.VersionConflictError
NotFoundError = _settings_errors.NotFoundError
SnapshotError = _settings_errors.SnapshotError
AdminRequestError = _admin_errors.AdminRequestError
NotAuthenticatedError = _admin_errors.NotAuthenticatedError
NotPermittedError = _admin_errors.NotPermittedError
MoveError = _move_errors.MoveError
MoveActiveError = _move_errors.MoveActiveError
MoveFinishedError = _move_errors.MoveFinishedError
LeaseLostError = _move_errors.LeaseLostError
PlatformError = _platform_errors.PlatformError
PlatformUnavailableError = _platform_errors.PlatformUnavailableError
PlatformAnswerLostError = _platform_errors.PlatformAnswerLostError
OutcomeUnknownError = _platform_errors.OutcomeUnknownError
TransactionConflictError = _platform_errors.TransactionConflictError
ObjectCorruptError = _platform_errors.ObjectCorruptError
HistoryLostError = _platform_errors.HistoryLostError
DocumentError = _platform_errors.DocumentError
PeerError = _peer_errors.PeerError
PeerUnreachableError = _peer_errors.PeerUnreachableError
PeerTimeoutError = _peer_errors.PeerTimeoutError
PeerBusyError = _peer_errors.PeerBusyError
ProtocolError = _peer_errors.ProtocolError
CallError = _call_errors.CallError
OverloadedError = _call_errors.OverloadedError
NoTargetError = _call_errors.NoTargetError
NoPermittedTargetError = _call_errors.NoPermittedTargetError
EvacuatedError = _call_errors.EvacuatedError
NoRouteError = _call_errors.NoRouteError
UnknownKeyError = _call_errors.UnknownKeyError
KeysOutdatedError = _call_errors.KeysOutdatedError
QuotaExceededError = _call_errors.QuotaExceededError
UnusableRouteError = _call_errors.UnusableRouteError
DeadlineExceededError = _call_errors.DeadlineExceededError
BadCallError = _call_errors.BadCallError
LeavingError = _call_errors.LeavingError
BodyUnavailableError = _call_errors.BodyUnavailableError
OfferDeclinedError = _call_errors.OfferDeclinedError
RetryRefusedError = _call_errors.RetryRefusedError
QuarantinedError = _call_errors.QuarantinedError
MalformedHeadError = _call_errors.MalformedHeadError
CancelledCallError = _call_errors.CancelledCallError
PostingError = _posting_errors.PostingError
PostingKeyMissingError = _posting_errors.PostingKeyMissingError
TicketMalformedError = _posting_errors.TicketMalformedError
PostingKeyReusedError = _posting_errors.PostingKeyReusedError
TicketGoneError = _posting_errors.TicketGoneError
TargetError = _target_errors.TargetError
TargetConnectError = _target_errors.TargetConnectError
TargetAnswerLostError = _target_errors.TargetAnswerLostError
TargetStatusError = _target_errors.TargetStatusError
TargetCrashedError = _target_errors.TargetCrashedError
TargetShedError = _target_errors.TargetShedError
ToolError = _tool_errors.ToolError
UsageError = _tool_errors.UsageError
AdminUnreachableError = _tool_errors.AdminUnreachableError
AdminAnswerError = _tool_errors.AdminAnswerError
AdminTimeoutError = _tool_errors.AdminTimeoutError
WaitTimeoutError = _tool_errors.WaitTimeoutError
AdminRefusedError = _tool_errors.AdminRefusedError
InvariantViolationError = _invariant_errors.InvariantViolationError
