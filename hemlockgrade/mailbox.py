"""The mailbox from which a task reads its messages."""

import asyncio
import collections
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class Mailbox(Generic[T]):
    """An unbounded queue of messages with one reader."""

    def __init__(self):
        self._messages: collections.deque[T] = collections.deque()
        self._arrived = asyncio.Event()
        self._closed = False

    def post(self, message: T) -> None:
        """Adds a message without blocking; drops it after `close`."""
        if self._closed:
            return
        self._messages.append(message)
        self._arrived.set()

    def close(self) -> None:
        """Lets the reader end after the messages that are already there."""
        self._closed = True
        self._arrived.set()

    async def get(self) -> T:
        """Returns the next message.

        Raises:
            StopAsyncIteration: The mailbox is closed and empty.
        """
        while not self._messages:
            if self._closed:
                raise StopAsyncIteration
            self._arrived.clear()
            await self._arrived.wait()
        return self._messages.popleft()

    def __aiter__(self) -> 'Mailbox[T]':
        return self

    async def __anext__(self) -> T:
        return await self.get()
