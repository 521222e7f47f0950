"""Act as the transport of a connection whose other side stops reading."""


class StuckTransport:
    """Hold what is written until the test takes it."""

    def __init__(self, unsent_bytes: int = 0) -> None:
        self.unsent_bytes = unsent_bytes
        self.is_closing = False
        self.is_aborted = False

    def set_write_buffer_limits(self, high: int, low: int) -> None:
        """Ignore the marks; the test calls the protocol."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that have not been taken."""
        return self.unsent_bytes

    def close(self) -> None:
        """Close after what has been written."""
        self.is_closing = True

    def abort(self) -> None:
        """Drop what has not been taken."""
        self.is_aborted = True
        self.unsent_bytes = 0
