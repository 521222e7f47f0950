"""Send and receive messages between nodes over pynng sockets."""

import contextlib
import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Union

import msgspec
import pynng

from jasmineramp.call_messages import Attempt, CallHeader
from jasmineramp.exceptions import (
    AddressInUseError,
    MessageError,
    SettingsError,
)
from jasmineramp.http_messages import HttpRequest, HttpResponse
from jasmineramp.ids import CallId, NodeId
from jasmineramp.messages import Message

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MAX_QUEUED_MESSAGES = 128
MAX_LINKS = 256
SEND_TIMEOUT_MS = 200
CONNECT_TIMEOUT_MS = 250
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 2000


class HopRequest(Message, frozen=True):
    """Request that the node of an instance runs an attempt."""

    header: CallHeader
    request: HttpRequest
    answer_to: str


class HopAnswer(Message, frozen=True):
    """Return the result of an attempt to the node that requested it."""

    call_id: CallId
    attempt: Attempt
    response: HttpResponse | None


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Wrap an encoded message with the protocol version and sender."""

    version: int
    sender: NodeId
    body: msgspec.Raw


class Codec:
    """Encode and decode messages of the types defined so far."""

    def __init__(self) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.envelopes = msgspec.msgpack.Decoder(Envelope)
        union: Any = Union[tuple(_message_types(Message))]  # noqa: UP007
        self.messages = msgspec.msgpack.Decoder(union)

    def encode(self, sender: NodeId, message: Message) -> bytes:
        """Return the encoded message in an envelope."""
        body = msgspec.Raw(self.encoder.encode(message))
        return self.encoder.encode(Envelope(PROTOCOL_VERSION, sender, body))

    def decode(self, frame: bytes) -> tuple[NodeId, Message]:
        """Return sender and message; raise MessageError if malformed."""
        try:
            envelope = self.envelopes.decode(frame)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise MessageError(str(error)) from None
        if envelope.version != PROTOCOL_VERSION:
            raise MessageError(f'protocol version {envelope.version}')
        try:
            message: Message = self.messages.decode(envelope.body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise MessageError(str(error)) from None
        return envelope.sender, message


class PeerLink:
    """Send frames to one address and report when it disconnects."""

    def __init__(
        self,
        address: str,
        on_lost: Callable[[str], None],
    ) -> None:
        self.address = address
        self.on_lost = on_lost
        self.connected = threading.Event()
        self.socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=MAX_QUEUED_MESSAGES,
            reconnect_time_min=MIN_RECONNECT_MS,
            reconnect_time_max=MAX_RECONNECT_MS,
        )
        self.socket.add_post_pipe_connect_cb(self._handle_connected)
        self.socket.add_post_pipe_remove_cb(self._handle_removed)
        self.socket.dial(f'tcp://{address}', block=False)

    def send(self, frame: bytes) -> bool:
        """Queue a frame if connected; return whether it was queued."""
        if not self.connected.is_set():
            return False
        try:
            self.socket.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def wait_connected(self) -> bool:
        """Wait up to 250 ms for a connection and return whether it is up."""
        timeout = CONNECT_TIMEOUT_MS / 1000
        return self.connected.is_set() or self.connected.wait(timeout)

    def close(self) -> None:
        """Close the socket."""
        with contextlib.suppress(pynng.NNGException):
            self.socket.close()

    def _handle_connected(self, pipe: pynng.Pipe) -> None:
        self.connected.set()

    def _handle_removed(self, pipe: pynng.Pipe) -> None:
        self.connected.clear()
        self.on_lost(self.address)


class PeerNetwork:
    """Listen on an address and keep links to the peers in use.

    close() closes the listener and all links.
    """

    def __init__(
        self,
        node: NodeId,
        address: str,
        on_message: Callable[[NodeId, Message], None],
        on_lost: Callable[[str], None],
        on_error: Callable[[MessageError], None],
    ) -> None:
        self.node = node
        self.codec = Codec()
        self.on_message = on_message
        self.on_lost = on_lost
        self.on_error = on_error
        self.lock = threading.Lock()
        self.links: OrderedDict[str, PeerLink] = OrderedDict()
        self.stack = contextlib.ExitStack()
        self.received_bytes = 0
        self.sent_bytes = 0
        self.sent_messages = 0
        try:
            self.listener = pynng.Pull0(
                listen=f'tcp://{address}',
                recv_max_size=MAX_MESSAGE_BYTES,
                recv_buffer_size=MAX_QUEUED_MESSAGES,
            )
        except pynng.exceptions.AddressInUse:
            raise AddressInUseError(address) from None
        except pynng.NNGException as error:
            raise SettingsError(
                f'peer {address}',
                str(error),
                'name an address of this machine',
            ) from None
        self.stack.callback(self._close_links)
        self.stack.callback(self.listener.close)
        self.thread = threading.Thread(
            target=self._receive,
            name='peer-receiver',
            daemon=True,
        )

    def start(self) -> None:
        """Start receiving in a background thread."""
        self.thread.start()

    def send(
        self, address: str, message: Message, *, wait: bool = False
    ) -> bool:
        """Send a message; return False only if it was certainly not sent.

        With wait, allow the link up to 250 ms to connect.
        """
        frame = self.codec.encode(self.node, message)
        link = self._get_link(address)
        if wait and not link.wait_connected():
            return False
        sent = link.send(frame)
        if sent:
            self.sent_messages += 1
            self.sent_bytes += len(frame)
        return sent

    def close(self) -> None:
        """Close the listener and all links."""
        self.stack.close()

    def _get_link(self, address: str) -> PeerLink:
        with self.lock:
            link = self.links.get(address)
            if link is None:
                link = PeerLink(address, self.on_lost)
                self.links[address] = link
                if len(self.links) > MAX_LINKS:
                    _, oldest = self.links.popitem(last=False)
                    oldest.close()
            else:
                self.links.move_to_end(address)
        return link

    def _receive(self) -> None:
        while True:
            try:
                frame = self.listener.recv()
            except pynng.Closed:
                return
            except (pynng.NNGException, RuntimeError) as error:
                # pynng raises RuntimeError for an empty frame.
                self.on_error(MessageError(str(error)))
                continue
            self.received_bytes += len(frame)
            try:
                self.on_message(*self.codec.decode(frame))
            except MessageError as error:
                self.on_error(error)
            except Exception as error:
                # An exception in one message must not end the receiver.
                self.on_error(MessageError(f'{type(error).__name__}: {error}'))

    def _close_links(self) -> None:
        with self.lock:
            links = tuple(self.links.values())
            self.links.clear()
        for link in links:
            link.close()


def _message_types(base: type[Message]) -> list[type[Message]]:
    message_types: list[type[Message]] = []
    for kind in base.__subclasses__():
        message_types.append(kind)
        message_types.extend(_message_types(kind))
    return message_types
