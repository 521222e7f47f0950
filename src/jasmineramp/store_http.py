"""Access the platform store over HTTP."""

import threading
from http import HTTPStatus

import msgspec
import urllib3

from jasmineramp.clock import MILLIS_PER_SECOND, Clock
from jasmineramp.decoding import ForeignDecoder
from jasmineramp.store_budget import StoreBudget
from jasmineramp.store_messages import (
    Get,
    Operation,
    Outcome,
    Role,
    StoreAnswer,
    Watch,
)

RUN_PATH = '/run'
ROLE_HEADER = 'Jasmineramp-Role'
CONTENT_TYPE = 'application/msgpack'

_CONNECT_TIMEOUT_SECONDS = 1.0
_READ_TIMEOUT_SECONDS = 2.0
_POOL_SIZE = 8

# Raised before the request is sent, so the operation cannot have taken effect.
_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ClosedPoolError,
    urllib3.exceptions.LocationValueError,
)

_encoder = msgspec.msgpack.Encoder()
_decoder = ForeignDecoder(msgspec.msgpack.Decoder(StoreAnswer))


class HttpStore:
    """Run operations on the platform at an address (host:port).

    Thread-safe; each thread gets its own connection. Timeouts are in seconds;
    the waiting time of a watch is added to the read timeout.
    """

    def __init__(
        self,
        address: str,
        connect_timeout: float = _CONNECT_TIMEOUT_SECONDS,
        read_timeout: float = _READ_TIMEOUT_SECONDS,
    ) -> None:
        self.address = address
        self.connect_timeout = connect_timeout
        self.read_timeout = read_timeout
        self.pool = urllib3.connection_from_url(
            address if '://' in address else f'http://{address}',
            maxsize=_POOL_SIZE,
            retries=False,
        )

    def run(
        self, operation: Operation, role: Role | None = None
    ) -> StoreAnswer:
        """Run an operation and return its answer; never raises.

        The platform uses the role only for its counts.
        """
        try:
            response = self._send(operation, role)
        except _NOT_SENT_ERRORS as error:
            return StoreAnswer(Outcome.not_done, detail=_describe(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _unconfirmed_answer(operation, _describe(error))
        return _read_answer(operation, response)

    def close(self) -> None:
        """Close idle connections; later operations return not_done."""
        self.pool.close()

    def _send(
        self, operation: Operation, role: Role | None
    ) -> urllib3.BaseHTTPResponse:
        headers = {'Content-Type': CONTENT_TYPE}
        if role is not None:
            headers[ROLE_HEADER] = role.value
        watch_seconds: float = 0
        if isinstance(operation, Watch):
            watch_seconds = operation.wait_ms / MILLIS_PER_SECOND
        return self.pool.urlopen(
            'POST',
            RUN_PATH,
            body=_encoder.encode(operation),
            headers=headers,
            timeout=urllib3.Timeout(
                connect=self.connect_timeout,
                read=self.read_timeout + watch_seconds,
            ),
        )


class BudgetedStore:
    """Run operations on a store within a call budget.

    Thread-safe. An operation refused by the budget returns not_done; the
    caller retries it later.
    """

    def __init__(
        self, store: HttpStore, budget: StoreBudget, clock: Clock
    ) -> None:
        self.store = store
        self.budget = budget
        self.clock = clock
        self.lock = threading.Lock()

    def run(self, operation: Operation, role: Role) -> StoreAnswer:
        """Run an operation and return its answer; never raises."""
        with self.lock:
            wait = self.budget.admit(role, operation, self.clock.now())
        if wait:
            return StoreAnswer(
                Outcome.not_done,
                detail=f'store budget exceeded, retry in {wait:.0f} ms',
            )
        answer = self.store.run(operation, role)
        with self.lock:
            self.budget.record_outcome(
                role, operation, answer.outcome, self.clock.now()
            )
        return answer

    def close(self) -> None:
        """Close the store."""
        self.store.close()


def _read_answer(
    operation: Operation, response: urllib3.BaseHTTPResponse
) -> StoreAnswer:
    if response.status == HTTPStatus.OK:
        try:
            return _decoder.decode(response.data)
        except msgspec.MsgspecError as error:
            return _unconfirmed_answer(operation, _describe(error))
    detail = f'HTTP status {response.status}'
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return StoreAnswer(Outcome.not_done, detail=detail)
    return _unconfirmed_answer(operation, detail)


def _unconfirmed_answer(operation: Operation, detail: str) -> StoreAnswer:
    """Return the answer when the response is lost or unusable.

    A write may have taken effect; a read can be repeated safely.
    """
    if isinstance(operation, Get | Watch):
        return StoreAnswer(Outcome.not_done, detail=detail)
    return StoreAnswer(Outcome.unknown, detail=detail)


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
