"""Define the error tree; each error renders itself with its remedy."""


class JasminerampError(Exception):
    """Report a fault that an operator or a caller can act on."""

    exit_code = 1

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        """Render the message and the remedy on one line."""
        return f'{self.message}; {self.remedy}'


class SettingsError(JasminerampError):
    """Report a settings file that can't be used."""

    exit_code = 2

    def __init__(self, place: str, message: str, remedy: str) -> None:
        super().__init__(f'{place}: {message}', remedy)
        self.place = place


class TableError(JasminerampError):
    """Report a table cell that can't be used."""

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
    """Report an edit that lost against another operator's edit."""

    exit_code = 3


class AddressInUseError(JasminerampError):
    """Report a listening address that another process holds."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f'address {address} is in use',
            'stop the process that holds it or change the settings',
        )


class UnreachableError(JasminerampError):
    """Report an address that can't be reached."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(
            f'cannot reach {address}: {reason}',
            'check that the process runs and that the address is right',
        )


class MessageError(JasminerampError):
    """Report a peer message that can't be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'cannot decode the peer message: {reason}',
            'run the same release on all nodes',
        )
