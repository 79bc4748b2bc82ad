"""HTTP/1.1 messages and their parsers, bounded in size."""

import http
from typing import Any

import attrs
import httptools

from hemlockgrade import exceptions

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024

Headers = list[tuple[bytes, bytes]]

# Prefix of the headers that only daemons set.
INTERNAL = b'x-hemlock-'

# Headers that belong to one connection and are not passed on (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)


@attrs.define(kw_only=True)
class Request:
    """A complete HTTP request.

    Attributes:
        method: Upper-case method.
        target: Request target: path and query.
        headers: Lower-case names and values, without hop-by-hop headers.
        body: The whole body.
        keep_alive: False if the sender closes the connection afterwards.
    """

    method: str
    target: str
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """Returns the request target without its query."""
        return self.target.partition('?')[0]


@attrs.define(kw_only=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    keep_alive: bool = True


def header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header, by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value.decode('latin-1')
    return None


def without_internal(headers: Headers) -> Headers:
    """Drops the headers that daemons use among themselves."""
    return [item for item in headers if not item[0].startswith(INTERNAL)]


def encode_request(request: Request, host: str) -> bytes:
    """Serializes a request with its content length."""
    lines = [f'{request.method} {request.target} HTTP/1.1\r\n'.encode()]
    if header(request.headers, b'host') is None:
        lines.append(f'host: {host}\r\n'.encode())
    lines.extend(b'%b: %b\r\n' % item for item in request.headers)
    if request.body or request.method not in ('GET', 'HEAD', 'DELETE'):
        lines.append(b'content-length: %d\r\n' % len(request.body))
    lines.append(b'\r\n')
    lines.append(request.body)
    return b''.join(lines)


def encode_response(response: Response, *, close: bool) -> bytes:
    """Serializes a response with its content length."""
    try:
        phrase = http.HTTPStatus(response.status).phrase
    except ValueError:
        phrase = 'Unknown'
    lines = [f'HTTP/1.1 {response.status} {phrase}\r\n'.encode()]
    lines.extend(b'%b: %b\r\n' % item for item in response.headers)
    if response.status not in (204, 304):
        lines.append(b'content-length: %d\r\n' % len(response.body))
    if close:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    lines.append(response.body)
    return b''.join(lines)


class _MessageParser:
    """Collects one message at a time from a stream of bytes."""

    _parser: Any

    def __init__(self):
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._messages: list = []
        self.in_message = False

    def on_message_begin(self):
        self._headers = []
        self._body = []
        self._header_bytes = 0
        self._body_bytes = 0
        self.in_message = True

    def on_header(self, name: bytes, value: bytes):
        self._count_header(len(name) + len(value))
        lower = name.lower()
        if lower not in HOP_BY_HOP:
            self._headers.append((lower, value))

    def on_body(self, body: bytes):
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            raise exceptions.MalformedRequestError(
                f'body larger than {MAX_BODY_BYTES} bytes', status=413
            )
        self._body.append(body)

    def _count_header(self, size: int):
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            raise exceptions.MalformedRequestError(
                f'header larger than {MAX_HEADER_BYTES} bytes', status=431
            )

    def feed(self, data: bytes) -> list:
        """Parses more bytes and returns the messages they complete.

        Raises:
            exceptions.MalformedRequestError: The bytes are not HTTP/1.1 or
                exceed a bound.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise exceptions.MalformedRequestError(
                'protocol upgrade is not supported', status=501
            ) from error
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, exceptions.MalformedRequestError):
                raise cause from None
            raise exceptions.MalformedRequestError(str(error)) from error
        messages, self._messages = self._messages, []
        return messages


class RequestParser(_MessageParser):
    """Parses requests."""

    def __init__(self):
        super().__init__()
        self._url: list[bytes] = []
        self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self):
        """Forgets the previous message."""
        super().on_message_begin()
        self._url = []

    def on_url(self, url: bytes):
        """Collects a part of the request target."""
        self._count_header(len(url))
        self._url.append(url)

    def on_message_complete(self):
        """Completes a message."""
        self.in_message = False
        self._messages.append(
            Request(
                method=self._parser.get_method().decode('ascii'),
                target=b''.join(self._url).decode('latin-1'),
                headers=self._headers,
                body=b''.join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )


class ResponseParser(_MessageParser):
    """Parses responses."""

    def __init__(self):
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)

    def on_message_complete(self):
        """Completes a message."""
        self.in_message = False
        self._messages.append(
            Response(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=b''.join(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
