"""The mailbox from which a task reads its messages."""

import asyncio
import collections
from typing import Generic
from typing import TypeVar

T = TypeVar('T')


class Mailbox(Generic[T]):
    """An unbounded queue of messages with one reader on one event loop."""

    def __init__(self):
        self._messages: collections.deque[T] = collections.deque()
        self._wake = asyncio.Event()
        self._closed = False

    def post(self, message: T) -> None:
        """Adds a message; it is dropped if the mailbox is closed."""
        if self._closed:
            return
        self._messages.append(message)
        self._wake.set()

    async def get(self) -> T:
        """Waits for the next message and returns it.

        Raises:
            EOFError: The mailbox is closed and every message was read.
        """
        while not self._messages:
            if self._closed:
                raise EOFError('the mailbox is closed')
            self._wake.clear()
            await self._wake.wait()
        return self._messages.popleft()

    def close(self) -> None:
        """Ends the reader after the messages that were already posted."""
        self._closed = True
        self._wake.set()

    def __aiter__(self) -> 'Mailbox[T]':
        return self

    async def __anext__(self) -> T:
        try:
            return await self.get()
        except EOFError:
            raise StopAsyncIteration from None
