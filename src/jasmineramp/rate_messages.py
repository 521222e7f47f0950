"""Define the messages that move rate between nodes."""

import msgspec

from jasmineramp.ids import BucketId, DomainId, NodeId
from jasmineramp.messages import Message


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """State the calls a second of one bucket at one node.

    The sender asks for lenders if urgent is set.
    """

    bucket: BucketId
    held: float
    used: float
    wanted: float
    urgent: bool = False


class DemandReport(Message, frozen=True):
    """Tell the exchange the demand for the buckets in use."""

    demands: tuple[Demand, ...]


class Lender(msgspec.Struct, frozen=True, array_like=True):
    """Name a node that can probably lend this rate (calls a second)."""

    node: NodeId
    rate: float


class BucketLenders(msgspec.Struct, frozen=True, array_like=True):
    """List the lenders of one bucket."""

    bucket: BucketId
    lenders: tuple[Lender, ...]


class LenderHints(Message, frozen=True):
    """Tell a node whom to ask for loans."""

    buckets: tuple[BucketLenders, ...]


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a part of a share or for tokens; the term is milliseconds.

    The loan number is unique in the session of the borrower. A share is of
    no use to the borrower with less than minimum_burst.
    """

    loan: int
    bucket: BucketId
    rate: float
    minimum_burst: float
    tokens: int
    term: float


class LoanRequest(Message, frozen=True):
    """Ask a node for loans and for longer terms of running loans."""

    session: int
    number: int
    wants: tuple[Want, ...] = ()
    renewals: tuple[int, ...] = ()


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Lend fractions of the share of a rate slot, and tokens."""

    loan: int
    slot: int
    rate: float
    burst: float
    tokens: float


class Loan(Message, frozen=True):
    """Answer a loan request; wants without a grant are denied.

    The term (milliseconds) of the renewed loans starts at the time of the
    request, as that of the grants does. Denied tokens may be there after
    retry (milliseconds).
    """

    session: int
    number: int
    grants: tuple[Grant, ...] = ()
    renewed: tuple[int, ...] = ()
    term: float = 0
    retry: float = 0


class ReturnedLoan(msgspec.Struct, frozen=True, array_like=True):
    """Name a loan that ends early and the tokens left of it."""

    loan: int
    tokens: float


class LoanReturn(Message, frozen=True):
    """Give loans back before their terms end."""

    session: int
    loans: tuple[ReturnedLoan, ...]


class DomainDemand(msgspec.Struct, frozen=True, array_like=True):
    """Sum up one bucket in one failure domain (calls a second)."""

    bucket: BucketId
    spare: float
    wanted: float
    lenders: tuple[Lender, ...]


class DomainSummary(Message, frozen=True):
    """Tell the exchange of another failure domain what is spare here."""

    domain: DomainId
    demands: tuple[DomainDemand, ...]
