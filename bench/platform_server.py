"""Serve the in-memory platform store over HTTP on loopback.

Run as `python -m bench.platform_server --port N`. `POST /run` takes one
operation as JSON or msgpack. `GET /stats` returns the calls per role and
kind, `POST /faults` with a JSON object sets the faults.
"""

import argparse
import collections
import logging
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import waitress
from tests.fakes.store import READS, StoreState

from jasmineramp.clock import Millis, MonotonicClock
from jasmineramp.store_messages import (
    CompareAndSwap,
    Delete,
    Get,
    GrantLease,
    KeepAlive,
    Operation,
    Outcome,
    RevokeLease,
    StoreAnswer,
    Watch,
)

JSON = 'application/json'
MSGPACK = 'application/msgpack'
REQUEST_LIMIT = 3_000_000
SECOND = 1000.0

AnyOperation = (
    Get | CompareAndSwap | Delete | Watch | GrantLease | KeepAlive | RevokeLease
)
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class FaultSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the faults in force.

    down: operations have no effect and are answered not_done.
    silent: operations have no effect and the connection breaks.
    delay_ms: added before an operation takes effect.
    lose_answers: the next n writes take effect, their connection breaks.
    """

    down: bool = False
    silent: bool = False
    delay_ms: float = 0
    lose_answers: int = 0


class PlatformServer:
    """Answer store requests as a WSGI application."""

    def __init__(self) -> None:
        self.clock = MonotonicClock()
        self.state = StoreState()
        self.changed = threading.Condition()
        self.faults = FaultSettings()
        self.calls: dict[str, collections.Counter[str]] = {}
        self.codecs = {
            JSON: (msgspec.json.Decoder(AnyOperation), msgspec.json.encode),
            MSGPACK: (
                msgspec.msgpack.Decoder(AnyOperation),
                msgspec.msgpack.encode,
            ),
        }

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        if path == '/run':
            return self._answer_run(environ, body, start_response)
        try:
            payload = self._control(path, body)
        except msgspec.MsgspecError as error:
            return _respond(start_response, '400 Bad Request', str(error))
        if payload is None:
            return _respond(start_response, '404 Not Found', 'unknown path')
        return _send(start_response, JSON, msgspec.json.encode(payload))

    def run(self, operation: Operation) -> StoreAnswer | None:
        """Run an operation; None means that the answer is lost."""
        faults = self.faults
        if faults.delay_ms:
            time.sleep(faults.delay_ms / SECOND)
        if faults.silent:
            return None
        if faults.down:
            return StoreAnswer(Outcome.not_done, detail='platform is down')
        if isinstance(operation, Watch):
            return self._watch(operation)
        with self.changed:
            before = self.state.revision
            answer = self.state.apply(operation, self.clock.now())
            if self.state.revision != before:
                self.changed.notify_all()
            if not isinstance(operation, READS) and self.faults.lose_answers:
                self.faults.lose_answers -= 1
                return None
        return answer

    def _watch(self, operation: Watch) -> StoreAnswer:
        state = self.state
        end = Millis(self.clock.now() + operation.wait_ms)
        with self.changed:
            while True:
                now = self.clock.now()
                answer = state.apply(operation, now)
                if answer.revision != operation.revision or now >= end:
                    return answer
                until = min(end, state.next_expiry)
                self.changed.wait(max(until - now, 1) / SECOND)

    def _answer_run(
        self,
        environ: dict[str, Any],
        body: bytes,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        content_type = environ.get('CONTENT_TYPE', JSON)
        codec = self.codecs.get(content_type)
        if codec is None:
            return _respond(
                start_response, '415 Unsupported Media Type', content_type
            )
        decoder, encode = codec
        try:
            operation = decoder.decode(body)
        except msgspec.MsgspecError as error:
            return _respond(start_response, '400 Bad Request', str(error))
        self._count(environ, operation)
        answer = self.run(operation)
        if answer is None:
            return _break_connection(start_response)
        return _send(start_response, content_type, encode(answer))

    def _count(self, environ: dict[str, Any], operation: Operation) -> None:
        prefix = operation.key.partition('/')[0]
        role = environ.get('HTTP_JASMINERAMP_ROLE', prefix)
        kind = type(operation).__struct_config__.tag
        with self.changed:
            counter = self.calls.setdefault(role, collections.Counter())
            counter[kind] += 1

    def _control(self, path: str, body: bytes) -> Any:
        if path == '/stats':
            with self.changed:
                return {role: dict(kinds) for role, kinds in self.calls.items()}
        if path == '/faults':
            if body:
                self.faults = msgspec.json.decode(body, type=FaultSettings)
            return self.faults
        return None


def _send(
    start_response: StartResponse, content_type: str, body: bytes
) -> Iterable[bytes]:
    start_response(
        '200 OK',
        [('Content-Type', content_type), ('Content-Length', str(len(body)))],
    )
    return [body]


def _respond(
    start_response: StartResponse, status: str, detail: str
) -> Iterable[bytes]:
    body = detail.encode()
    start_response(status, [('Content-Length', str(len(body)))])
    return [body]


def _break_connection(start_response: StartResponse) -> Iterable[bytes]:
    """End the response early; waitress then closes the connection."""
    start_response('200 OK', [('Content-Length', '1')])
    return []


def create_server(
    port: int, threads: int = 64
) -> tuple[PlatformServer, waitress.server.BaseWSGIServer]:
    """Return the application and its bound server; port 0 picks one."""
    application = PlatformServer()
    # Waitress warns about each response that a fault breaks on purpose.
    logging.getLogger('waitress').setLevel(logging.ERROR)
    server = waitress.create_server(
        application,
        host='127.0.0.1',
        port=port,
        threads=threads,
        connection_limit=4000,
        max_request_body_size=REQUEST_LIMIT,
    )
    return application, server


def stop_server(server: waitress.server.BaseWSGIServer) -> None:
    """Close every socket in the server's own thread, which ends run()."""
    close_all = waitress.wasyncore.close_all
    server.trigger.pull_trigger(lambda: close_all(server._map))
    server.task_dispatcher.shutdown()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--threads', type=int, default=64)
    arguments = parser.parse_args()
    _, server = create_server(arguments.port, arguments.threads)
    server.run()


if __name__ == '__main__':
    main()
