"""Define the exceptions; each renders its message and its remedy."""


class JasminerampError(Exception):
    """Base of the errors that an operator or a caller can act on.

    The exit code is that of a command that ends with the error.
    """

    exit_code = 1

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        """Render the message and the remedy on one line."""
        return f'{self.message}; {self.remedy}'


class SettingsError(JasminerampError):
    """Report invalid settings and the place where they are set."""

    exit_code = 2

    def __init__(self, place: str, message: str, remedy: str) -> None:
        super().__init__(f'{place}: {message}', remedy)
        self.place = place


class TableError(JasminerampError):
    """Report an invalid table cell."""

    exit_code = 2

    def __init__(
        self,
        row: str,
        column: str,
        cell: object,
        message: str,
        remedy: str,
    ) -> None:
        super().__init__(
            f'row {row}, column {column}, value {cell!r}: {message}',
            remedy,
        )
        self.row = row
        self.column = column
        self.cell = cell


class ConflictError(JasminerampError):
    """Report an edit that conflicts with another operator's edit."""

    exit_code = 3


class AddressInUseError(JasminerampError):
    """Report a listening address that another process uses."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f'address {address} is in use',
            'stop the process that uses it or change the settings',
        )


class UnreachableError(JasminerampError):
    """Report an unreachable address."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(
            f'cannot reach {address}: {reason}',
            'check that the process runs and that the address is right',
        )


class MessageError(JasminerampError):
    """Report a peer message that cannot be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'cannot decode the peer message: {reason}',
            'run the same release on all nodes',
        )
