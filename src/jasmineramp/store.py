"""Define the interface of the platform store."""

from typing import Protocol

from jasmineramp.store_messages import Operation, StoreAnswer


class Store(Protocol):
    """Run operations on the platform store, one at a time."""

    def run(self, operation: Operation) -> StoreAnswer:
        """Run an operation and return its answer; never raises."""
