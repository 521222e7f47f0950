"""Run the requests of one caller's connection, each in a task of its own."""

import asyncio
from http import HTTPStatus
from typing import Protocol, TypeAlias

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_messages import CallerResponse, Handler
from jasmineramp.mesh.caller_owner import OpenRequests
from jasmineramp.mesh.caller_pipeline import PendingRequest
from jasmineramp.mesh.calls import CallerRequest

Pending: TypeAlias = PendingRequest[CallerRequest, CallerResponse]


class ResponseSink(Protocol):
    """Take the responses of the requests that run."""

    def finish(self, pending: Pending, response: CallerResponse) -> None:
        """Take the response to a request."""

    def report_fault(self, error: BaseException, *, is_answered: bool) -> None:
        """Note a fault of the node; `is_answered` if a response follows."""


class RequestTasks:
    """Hold the tasks of one connection.

    The tasks refer to the sink, this object does not, so that a connection is
    freed without the garbage collector once it has ended.
    """

    def __init__(self, handler: Handler, open_requests: OpenRequests) -> None:
        self.handler = handler
        self.open_requests = open_requests
        self.running: set[asyncio.Task[None]] = set()

    def __bool__(self) -> bool:
        return bool(self.running)

    def start(self, pending: Pending, sink: ResponseSink) -> None:
        """Run a request."""
        task = asyncio.create_task(self._run(pending, sink))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def cancel(self) -> None:
        """Cancel the tasks."""
        for task in self.running:
            task.cancel()

    async def _run(self, pending: Pending, sink: ResponseSink) -> None:
        request = pending.request
        if request is None:
            return
        now = asyncio.get_running_loop().time()
        request.waited_ms = (now - request.read_at) * MILLIS_PER_SECOND
        try:
            with self.open_requests:
                response = await self._handle(request, sink)
            sink.finish(pending, response)
        except asyncio.CancelledError as error:
            sink.report_fault(error, is_answered=False)
            raise
        except Exception as error:
            sink.report_fault(error, is_answered=False)

    async def _handle(
        self, request: CallerRequest, sink: ResponseSink
    ) -> CallerResponse:
        try:
            return await self.handler(request)
        except Exception as error:
            sink.report_fault(error, is_answered=True)
            return CallerResponse(HTTPStatus.INTERNAL_SERVER_ERROR, [])
