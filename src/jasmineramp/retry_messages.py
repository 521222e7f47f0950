"""Define the messages that charge retries to the entry node's ledger."""

from jasmineramp.ids import CallId, RequestId
from jasmineramp.messages import Message


class RetryRequest(Message, frozen=True):
    """Ask the entry node for one retry of a call of its request.

    Call and attempt identify the retry; a duplicate is not charged again.
    """

    request_id: RequestId
    call_id: CallId
    attempt: int


class RetryAnswer(Message, frozen=True):
    """Grant or deny the retry that call and attempt identify."""

    request_id: RequestId
    call_id: CallId
    attempt: int
    granted: bool
