"""A table of items in numbered slots; freed numbers are reused."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class SlotTable(Generic[T]):
    """Stores items by number; the number of a dropped item is reused."""

    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        return (item for item in list(self._items) if item is not None)

    def put(self, item: T) -> int:
        """Stores an item and returns its number."""
        if self._free:
            number = self._free.pop()
            self._items[number] = item
        else:
            number = len(self._items)
            self._items.append(item)
        return number

    def get(self, number: int) -> T | None:
        """Returns the item with that number, None if it was dropped."""
        return self._items[number]

    def drop(self, number: int) -> None:
        """Removes the item and frees its number."""
        self._items[number] = None
        self._free.append(number)
