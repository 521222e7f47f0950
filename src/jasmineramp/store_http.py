"""Bind the platform store to HTTP."""

import threading
from http import HTTPStatus

import msgspec
import urllib3

from jasmineramp.clock import MILLIS_PER_SECOND, Clock
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

_CONNECT_SECONDS = 1.0
_READ_SECONDS = 2.0
_POOL_SIZE = 8

# Raised before the request is written, so the operation cannot take effect.
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ClosedPoolError,
    urllib3.exceptions.LocationValueError,
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StoreAnswer)


class HttpStore:
    """Run operations on the platform at an address (host:port).

    Safe for use by several threads; each thread gets its own connection.
    Timeouts are in seconds, a watch may add its own waiting time.
    """

    def __init__(
        self,
        address: str,
        connect_timeout: float = _CONNECT_SECONDS,
        read_timeout: float = _READ_SECONDS,
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

        The role is only counted by the platform.
        """
        try:
            response = self._send(operation, role)
        except _NOT_SENT as error:
            return StoreAnswer(Outcome.not_done, detail=_describe(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _lost(operation, _describe(error))
        return _read_answer(operation, response)

    def close(self) -> None:
        """Close the idle connections; later operations are not done."""
        self.pool.close()

    def _send(
        self, operation: Operation, role: Role | None
    ) -> urllib3.BaseHTTPResponse:
        headers = {'Content-Type': CONTENT_TYPE}
        if role is not None:
            headers[ROLE_HEADER] = role.value
        waiting: float = 0
        if isinstance(operation, Watch):
            waiting = operation.wait_ms / MILLIS_PER_SECOND
        return self.pool.urlopen(
            'POST',
            RUN_PATH,
            body=_encoder.encode(operation),
            headers=headers,
            timeout=urllib3.Timeout(
                connect=self.connect_timeout,
                read=self.read_timeout + waiting,
            ),
        )


class BudgetedStore:
    """Run operations on a store as far as the budget allows.

    Safe for use by several threads. An operation that the budget refuses is
    not done; the caller repeats it later.
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
                Outcome.not_done, detail=f'refused by budget for {wait:.0f} ms'
            )
        answer = self.store.run(operation, role)
        with self.lock:
            self.budget.finished(
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
            return _lost(operation, _describe(error))
    detail = f'HTTP status {response.status}'
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return StoreAnswer(Outcome.not_done, detail=detail)
    return _lost(operation, detail)


def _lost(operation: Operation, detail: str) -> StoreAnswer:
    """Return the answer for a request that may have taken effect."""
    if isinstance(operation, Get | Watch):
        return StoreAnswer(Outcome.not_done, detail=detail)
    return StoreAnswer(Outcome.unknown, detail=detail)


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
