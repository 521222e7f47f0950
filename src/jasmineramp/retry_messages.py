"""Define the messages that charge retries to the ledger of the entry node."""

from jasmineramp.ids import CallId, RequestId
from jasmineramp.messages import Message


class RetryRequest(Message, frozen=True):
    """Request one retry of a call from the entry node of its request.

    Call id and attempt identify the retry; a duplicate is not charged again.
    """

    request_id: RequestId
    call_id: CallId
    attempt: int


class RetryAnswer(Message, frozen=True):
    """Grant or deny the retry identified by call id and attempt."""

    request_id: RequestId
    call_id: CallId
    attempt: int
    granted: bool
