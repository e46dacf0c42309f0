"""Numeric tags of the message types on the wire."""

from galenatack.messages import announced_call
from galenatack.messages import ask_freshness
from galenatack.messages import ask_posting
from galenatack.messages import body_part
from galenatack.messages import busy
from galenatack.messages import call
from galenatack.messages import call_answer
from galenatack.messages import cancel_call
from galenatack.messages import crash_report
from galenatack.messages import delta
from galenatack.messages import evidence
from galenatack.messages import fetch_body
from galenatack.messages import fragment
from galenatack.messages import freshness
from galenatack.messages import heartbeat
from galenatack.messages import held
from galenatack.messages import hello
from galenatack.messages import members
from galenatack.messages import posting_status
from galenatack.messages import protocol_failure
from galenatack.messages import pull_delta
from galenatack.messages import pull_members
from galenatack.messages import pull_rows
from galenatack.messages import quota_ask
from galenatack.messages import quota_grant
from galenatack.messages import rows
from galenatack.messages import trial_evidence
from galenatack.messages import withdraw

# Tags are part of the protocol: never reuse one for another type.
TYPES: dict[int, type] = {
    1: hello.Hello,
    2: heartbeat.Heartbeat,
    3: members.Members,
    4: pull_members.PullMembers,
    5: delta.Delta,
    6: pull_delta.PullDelta,
    7: busy.Busy,
    8: held.Held,
    9: evidence.Evidence,
    10: withdraw.Withdraw,
    11: call.Call,
    12: call_answer.CallAnswer,
    13: cancel_call.CancelCall,
    14: ask_posting.AskPosting,
    15: posting_status.PostingStatus,
    16: protocol_failure.ProtocolFailure,
    17: pull_rows.PullRows,
    18: rows.Rows,
    19: trial_evidence.TrialEvidence,
    20: fragment.Fragment,
    21: crash_report.CrashReport,
    22: announced_call.AnnouncedCall,
    23: fetch_body.FetchBody,
    24: body_part.BodyPart,
    30: ask_freshness.AskFreshness,
    31: freshness.Freshness,
    32: quota_ask.QuotaAsk,
    33: quota_grant.QuotaGrant,
}
"""Message type by tag."""

TAGS: dict[type, int] = {kind: tag for tag, kind in TYPES.items()}
"""Tag by message type."""
