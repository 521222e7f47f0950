"""Define the messages by which nodes report demand and lend rate."""

import msgspec

from jasmineramp.ids import BucketId, DomainId, NodeId
from jasmineramp.messages import Message


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Rates of one bucket at one node, in calls per second.

    If urgent is set, the sender requests hints about lenders.
    """

    bucket: BucketId
    held_rate: float
    admitted_rate: float
    needed_rate: float
    urgent: bool = False


class DemandReport(Message, frozen=True):
    """Report the demand for the buckets in use to the exchange."""

    demands: tuple[Demand, ...]


class Lender(msgspec.Struct, frozen=True, array_like=True):
    """Node that can probably lend this rate (calls per second)."""

    node: NodeId
    rate: float


class BucketLenders(msgspec.Struct, frozen=True, array_like=True):
    """Possible lenders of one bucket."""

    bucket: BucketId
    lenders: tuple[Lender, ...]


class LenderHints(Message, frozen=True):
    """Name the nodes that the receiver may ask for loans."""

    buckets: tuple[BucketLenders, ...]


class RequestedLoan(msgspec.Struct, frozen=True, array_like=True):
    """Request for rate (calls per second) or tokens; term in milliseconds.

    The loan id is unique in the session of the borrower. The borrower cannot
    use a rate with a burst below minimum_burst.
    """

    loan_id: int
    bucket: BucketId
    rate: float
    minimum_burst: float
    tokens: int
    term_ms: float


class LoanRequest(Message, frozen=True):
    """Request new loans and the renewal of active ones (by loan id)."""

    session: int
    number: int
    requested_loans: tuple[RequestedLoan, ...] = ()
    renewals: tuple[int, ...] = ()


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Loan of fractions of the share of a rate slot, and of tokens."""

    loan_id: int
    slot: int
    rate_fraction: float
    burst_fraction: float
    tokens: float


class Loan(Message, frozen=True):
    """Answer a loan request; requested loans without a grant are denied.

    The terms of grants and of renewed loans (milliseconds) start when the
    request was sent. Denied tokens may become available after retry_after_ms.
    """

    session: int
    number: int
    grants: tuple[Grant, ...] = ()
    renewed: tuple[int, ...] = ()
    term_ms: float = 0
    retry_after_ms: float = 0


class ReturnedLoan(msgspec.Struct, frozen=True, array_like=True):
    """Loan that ends early, with its unspent tokens."""

    loan_id: int
    tokens: float


class LoanReturn(Message, frozen=True):
    """Return loans before their terms end."""

    session: int
    loans: tuple[ReturnedLoan, ...]


class DomainDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one bucket in one failure domain, in calls per second."""

    bucket: BucketId
    spare_rate: float
    missing_rate: float
    lenders: tuple[Lender, ...]


class DomainSummary(Message, frozen=True):
    """Report spare and missing rate to another failure domain's exchange."""

    domain: DomainId
    demands: tuple[DomainDemand, ...]
