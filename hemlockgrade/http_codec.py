"""HTTP/1.1 messages and their parsers, with limits on the size."""

from collections.abc import Callable
import functools
import http
from typing import Any
from typing import Protocol
import urllib.parse

import attrs
import httptools

from hemlockgrade import exceptions

MAX_HEADER_BYTES = 16 * 1024
# Memory of a parsed header line, in bytes: its objects, and some of its text.
HEADER_LINE_BYTES = 200
MAX_BODY_BYTES = 1024 * 1024
# Characters of a request target that stay as they are; the others are encoded
# (RFC 3986, section 2).
_TARGET_CHARACTERS = "%/?#[]@!$&'()*+,;=:"
# Response bodies larger than this are passed on while they arrive.
MAX_BUFFERED_BYTES = 64 * 1024
# Largest number of responses that are dropped before the one to a request:
# interim ones (1xx), and repeated ones to earlier requests.
MAX_SKIPPED_RESPONSES = 16

# Lowest and highest status, and the lowest one of a final response.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'

Headers = list[tuple[bytes, bytes]]

# Prefix of the headers of the peer protocol, which only daemons set.
INTERNAL_HEADER_PREFIX = b'x-hemlock-'

# Headers that apply to one connection and are not passed on (RFC 9110, 7.6.1),
# and two more: `content-length` is written anew for each connection, and the
# server protocol handles `expect`.
HOP_BY_HOP_HEADERS = frozenset(
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
_METHODS_WITHOUT_BODY = frozenset({'GET', 'HEAD', 'DELETE', 'OPTIONS'})
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class BodySource(Protocol):
    """Source of the rest of a streamed body."""

    def pause(self) -> None:
        """Stops reading until `resume`."""

    def resume(self) -> None:
        """Continues reading."""

    def abort(self) -> None:
        """Discards the rest of the body."""


class BodySink(Protocol):
    """Destination of the rest of a streamed body."""

    def body_received(self, data: bytes) -> None:
        """Handles a piece of the body."""

    def body_ended(self, complete: bool) -> None:
        """Handles the end of the body.

        Args:
            complete: False if the body ended before it was complete.
        """


@attrs.define(eq=False)
class BodyStream:
    """A response body that is passed on while it arrives.

    Data that arrives before a sink is attached is buffered.
    """

    _source: BodySource
    _sink: BodySink | None = None
    _buffered: list[bytes] = attrs.field(factory=list)
    _complete: bool | None = None
    _callbacks: list[Callable[[bool], None]] = attrs.field(factory=list)

    def attach(self, sink: BodySink) -> None:
        """Attaches a sink, which receives the buffered and all later data."""
        self._sink = sink
        for data in self._buffered:
            sink.body_received(data)
        self._buffered.clear()
        if self._complete is None:
            self._source.resume()
            return
        sink.body_ended(self._complete)

    def pause(self) -> None:
        """Pauses the source while the sink accepts no data."""
        if self._complete is None:
            self._source.pause()

    def resume(self) -> None:
        """Resumes the source."""
        if self._complete is None:
            self._source.resume()

    def abort(self) -> None:
        """Discards the rest of the body.

        After the end of the body the source may already be in use for another
        request. Therefore `pause`, `resume` and `abort` do nothing then.
        """
        if self._complete is None:
            self._source.abort()

    def when_done(self, callback: Callable[[bool], None]) -> None:
        """Adds a callback for the end of the body.

        Args:
            callback: Called with True if the body is complete; called at once
                if the body has already ended.
        """
        if self._complete is None:
            self._callbacks.append(callback)
            return
        callback(self._complete)

    def push(self, data: bytes) -> None:
        """Accepts a piece of the body from the source."""
        if self._sink is None:
            self._buffered.append(data)
            return
        self._sink.body_received(data)

    def end(self, *, complete: bool) -> None:
        """Ends the body; further calls have no effect.

        Args:
            complete: False if the body ended before it was complete.
        """
        if self._complete is not None:
            return
        self._complete = complete
        for callback in self._callbacks:
            callback(complete)
        if self._sink is not None:
            self._sink.body_ended(complete)


@attrs.define(kw_only=True)
class Request:
    """A complete HTTP request.

    Attributes:
        method: Upper-case method.
        target: Request target: path and query.
        headers: Lower-case names and values, without hop-by-hop headers.
        body: The whole body.
        keep_alive: False if the client closes the connection after the
            response.
        version: HTTP version, `1.1` or `1.0`.
        source_ip: IP address of the client; empty if it is not known.
    """

    method: str
    target: str
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    keep_alive: bool = True
    version: str = '1.1'
    source_ip: str = ''

    @property
    def held_bytes(self) -> int:
        """Returns the memory of the request, in bytes.

        Its body is copied when it is passed on.
        """
        return len(self.headers) * HEADER_LINE_BYTES + 2 * len(self.body)

    def with_headers(self, headers: Headers) -> 'Request':
        """Returns a copy of the request with other headers."""
        return Request(
            method=self.method,
            target=self.target,
            headers=headers,
            body=self.body,
            keep_alive=self.keep_alive,
            version=self.version,
            source_ip=self.source_ip,
        )

    @property
    def path(self) -> str:
        """Returns the request target without its query."""
        return self.target.partition('?')[0]


@attrs.define(kw_only=True)
class Response:
    """An HTTP response.

    Attributes:
        status: Status code.
        headers: Lower-case names and values, without hop-by-hop headers.
        body: The whole body, or its beginning if `stream` is set.
        keep_alive: False if the server closes the connection afterwards.
        content_length: Value of the `content-length` header, in bytes. It is
            used for a streamed body, and for responses to HEAD and with status
            304, which state a length but have no body.
        stream: The rest of a body that is passed on while it arrives; None if
            `body` is complete.
    """

    status: int
    headers: Headers = attrs.field(factory=list)
    body: bytes = b''
    keep_alive: bool = True
    content_length: int | None = None
    stream: BodyStream | None = None

    @property
    def body_bytes(self) -> int:
        """Returns the size of the body, as far as it is known, in bytes."""
        return max(len(self.body), self.content_length or 0)


def header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header, by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value.decode('latin-1')
    return None


def without_internal_headers(headers: Headers) -> Headers:
    """Returns headers without those of the peer protocol."""
    return [
        item
        for item in headers
        if not item[0].startswith(INTERNAL_HEADER_PREFIX)
    ]


def quote(text: str) -> str:
    """Returns a text as one segment of a path or as a query (RFC 3986, 2.1).

    Letters outside ASCII are encoded as UTF-8, and lone surrogates become
    question marks.
    """
    return urllib.parse.quote(text, safe='', errors='replace')


def quote_target(target: str) -> str:
    """Returns a target in which only what cannot be sent is encoded."""
    return urllib.parse.quote(target, safe=_TARGET_CHARACTERS, errors='replace')


def encode_request_head(request: Request, host: str) -> bytes:
    """Serializes the request line and the headers, with the content length.

    Args:
        request: The request.
        host: Value of the `host` header if the request has none.

    Raises:
        exceptions.MalformedRequestError: The target has characters that cannot
            be sent in a request line.
    """
    line = f'{request.method} {request.target} HTTP/1.1\r\n'
    try:
        parts = [line.encode('latin-1')]
    except UnicodeEncodeError as error:
        raise exceptions.MalformedRequestError(
            f'the target {request.target!r} is not percent-encoded'
        ) from error
    if header(request.headers, b'host') is None:
        parts.append(f'host: {host}\r\n'.encode())
    parts.extend([b'%b: %b\r\n' % item for item in request.headers])
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(b'\r\n')
    return b''.join(parts)


@attrs.frozen(kw_only=True)
class Framing:
    """How the body of a response is delimited.

    Attributes:
        length: Value of the `content-length` header in bytes; None if there
            is none.
        chunked: True if the body is sent in chunks.
        close: True if the connection is closed after the body.
        no_body: True if no body follows, even if `length` is not 0.
    """

    length: int | None
    chunked: bool
    close: bool
    no_body: bool


def choose_framing(
    response: Response, request: Request, *, close: bool
) -> Framing:
    """Chooses how the body of a response is delimited (RFC 9112, 6.3).

    Args:
        response: The response.
        request: The request to which the response belongs.
        close: True if the connection is to be closed in any case.
    """
    head_request = request.method == 'HEAD'
    if head_request or response.status in _STATUSES_WITHOUT_BODY:
        length = response.content_length
        if head_request and length is None and response.body:
            length = len(response.body)
        if response.status == 204:
            length = None
        return Framing(length=length, chunked=False, close=close, no_body=True)
    length = len(response.body)
    if response.stream is not None:
        if response.content_length is None:
            chunked = request.version == '1.1'
            return Framing(
                length=None,
                chunked=chunked,
                close=close or not chunked,
                no_body=False,
            )
        length = response.content_length
    return Framing(length=length, chunked=False, close=close, no_body=False)


def encode_head(response: Response, framing: Framing) -> bytes:
    """Serializes the status line and the headers of a response."""
    parts = [_status_line(response.status)]
    parts.extend([b'%b: %b\r\n' % item for item in response.headers])
    if framing.chunked:
        parts.append(b'transfer-encoding: chunked\r\n')
    elif framing.length is not None:
        parts.append(b'content-length: %d\r\n' % framing.length)
    if framing.close:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    return b''.join(parts)


def encode_response(response: Response, framing: Framing) -> bytes:
    """Serializes a response with the part of its body that has arrived."""
    head = encode_head(response, framing)
    if framing.no_body:
        return head
    body = response.body
    return head + (encode_chunk(body) if framing.chunked else body)


@functools.lru_cache(maxsize=1024)
def _status_line(status: int) -> bytes:
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'HTTP/1.1 {status} {phrase}\r\n'.encode()


def encode_chunk(data: bytes) -> bytes:
    """Serializes a chunk.

    Returns:
        Nothing for empty data, because an empty chunk would end the body.
    """
    if not data:
        return b''
    return b'%x\r\n%b\r\n' % (len(data), data)


class _MessageParser:
    """Base of the parsers; it collects the headers of one message at a time."""

    _parser: Any

    def __init__(self):
        self.max_header_bytes = MAX_HEADER_BYTES
        self._headers: Headers = []
        self._header_bytes = 0
        # Raw bytes since the parser last reported a part of a message other
        # than a header.
        self._unreported_bytes = 0
        self._has_reported = False
        self._in_header = False
        self._framing_headers: dict[bytes, bytes] = {}
        self.in_message = False

    def on_message_begin(self):
        """Resets the state for a new message."""
        self._has_reported = True
        self._headers = []
        self._header_bytes = 0
        self._in_header = True
        self._framing_headers = {}
        self.in_message = True

    def on_header(self, name: bytes, value: bytes):
        """Stores a header; trailers are dropped."""
        if not self._in_header:
            return
        self._count_header_bytes(len(name) + len(value))
        lower = name.lower()
        if lower in HOP_BY_HOP_HEADERS:
            self._framing_headers[lower] = value.strip().lower()
            return
        self._headers.append((lower, value))

    def _end_header(self):
        self._has_reported = True
        self._in_header = False
        connection_value = self._framing_headers.get(b'connection')
        if connection_value is None or connection_value in (
            b'close',
            b'keep-alive',
        ):
            return
        dropped_names = {
            token.strip() for token in connection_value.split(b',')
        }
        self._headers = [i for i in self._headers if i[0] not in dropped_names]

    def _count_header_bytes(self, size: int):
        self._header_bytes += size
        if self._header_bytes > self.max_header_bytes:
            raise exceptions.MalformedRequestError(
                f'header larger than {self.max_header_bytes} bytes', status=431
            )

    def _feed_parser(self, data: bytes):
        self._has_reported = False
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
        # The parser buffers a header or trailer until it is complete, and does
        # not report chunk extensions and empty lines. The raw bytes are counted
        # to limit one that never ends.
        if self._has_reported:
            self._unreported_bytes = 0
            return
        self._unreported_bytes += len(data)
        if self._unreported_bytes > self.max_header_bytes:
            self._count_header_bytes(self.max_header_bytes + 1)

    def _content_length(self) -> int | None:
        text = self._framing_headers.get(b'content-length')
        if text is None or not text.isdigit():
            return None
        return int(text)


class RequestParser(_MessageParser):
    """Parses requests.

    Attributes:
        max_body_bytes: Requests with a larger body are refused.
        expects_continue: True if the sender waits for `100 Continue` before
            it sends the body of the request that is being parsed.
    """

    def __init__(
        self,
        max_header_bytes: int = MAX_HEADER_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        super().__init__()
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self._url: list[bytes] = []
        # One buffer: a list of the pieces would take many times the memory of a
        # body in small chunks.
        self._body = bytearray()
        self._parsed: list[Request | exceptions.MalformedRequestError] = []
        self.expects_continue = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(
        self, data: bytes
    ) -> list[Request | exceptions.MalformedRequestError]:
        """Parses more bytes.

        Returns:
            The requests that the bytes complete, in the order in which they
            arrived. An error is the last item; `feed` must not be called after
            an error.
        """
        try:
            self._feed_parser(data)
        except exceptions.MalformedRequestError as error:
            self._parsed.append(error)
            self.in_message = False
        parsed, self._parsed = self._parsed, []
        return parsed

    def on_message_begin(self):
        """Resets the state for a new message."""
        super().on_message_begin()
        self._url = []
        self._body = bytearray()
        self.expects_continue = False

    @property
    def held_bytes(self) -> int:
        """Returns the memory of the request that arrives, in bytes."""
        if not self.in_message:
            return 0
        lines = len(self._headers) * HEADER_LINE_BYTES
        received = self._header_bytes + self._unreported_bytes
        return received + lines + len(self._body)

    def discard(self) -> None:
        """Drops the request that arrives; nothing more may be fed.

        The parser of the library refers back to this one, so that without this
        the memory would wait for the garbage collection.
        """
        self.in_message = False
        self._headers = []
        self._body = bytearray()
        self._url = []
        self._parser = None

    def on_url(self, url: bytes):
        """Stores a piece of the request target."""
        self._count_header_bytes(len(url))
        self._url.append(url)

    def on_headers_complete(self):
        """Checks the headers that describe the body, and the host header."""
        self._end_header()
        coding = self._framing_headers.get(b'transfer-encoding')
        if coding not in (None, b'chunked'):
            raise exceptions.MalformedRequestError(
                'only the transfer coding "chunked" is supported', status=501
            )
        if (self._content_length() or 0) > self.max_body_bytes:
            self._refuse_body()
        hosts = sum(1 for name, _ in self._headers if name == b'host')
        if hosts > 1 or (not hosts and self._version() == '1.1'):
            raise exceptions.MalformedRequestError('exactly one host is needed')
        expect = self._framing_headers.get(b'expect')
        if expect not in (None, b'100-continue'):
            raise exceptions.MalformedRequestError(
                'only the expectation "100-continue" is supported', status=417
            )
        self.expects_continue = expect is not None

    def on_body(self, body: bytes):
        """Stores a piece of the body."""
        self._has_reported = True
        self.expects_continue = False
        self._body += body
        if len(self._body) > self.max_body_bytes:
            self._refuse_body()

    def on_message_complete(self):
        """Completes a request."""
        self._has_reported = True
        self.in_message = False
        self.expects_continue = False
        body, self._body = bytes(self._body), bytearray()
        self._parsed.append(
            Request(
                method=self._parser.get_method().decode('ascii'),
                target=_origin_form(b''.join(self._url).decode('latin-1')),
                headers=self._headers,
                body=body,
                keep_alive=self._parser.should_keep_alive(),
                version=self._version(),
            )
        )

    def _version(self) -> str:
        return self._parser.get_http_version()

    def _refuse_body(self):
        raise exceptions.MalformedRequestError(
            f'body larger than {self.max_body_bytes} bytes', status=413
        )


def _origin_form(target: str) -> str:
    """Returns a request target without scheme and authority."""
    if target.startswith('/') or target == '*':
        return target
    scheme, separator, rest = target.partition('://')
    if not separator or scheme.lower() not in ('http', 'https'):
        raise exceptions.MalformedRequestError('the target has no path')
    _, slash, path = rest.partition('/')
    return slash + path if slash else '/'


class ResponseParser(_MessageParser):
    """Parses the responses on one connection, one at a time.

    Attributes:
        unexpected_bytes: True if bytes arrived that belong to no response;
            the connection must not be used again.
        skipped_response: True if a response to another request arrived before
            the expected one; the connection must not be used again.
        body_parts: Number of pieces of bodies that the parser has reported:
            one for each chunk, and one for each read of other bodies.
        stream: The body that is being passed on; None if there is none.
    """

    def __init__(self, source: BodySource):
        super().__init__()
        self._source = source
        self._max_buffered_bytes = MAX_BUFFERED_BYTES
        self._accepts: Callable[[Headers], bool] | None = None
        self.skipped_response = False
        self._skipped_responses = 0
        # The part of the body that has not been passed on.
        self._body = bytearray()
        self._status = 0
        self._head_request = False
        self._is_delivered = False
        self._expects_response = False
        self._response: Response | None = None
        self.unexpected_bytes = False
        self.body_parts = 0
        self.stream: BodyStream | None = None
        self._parser = httptools.HttpResponseParser(self)

    def expect(
        self,
        method: str,
        accepts: Callable[[Headers], bool] | None = None,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        """Prepares the parser for the response to a request.

        Args:
            method: Method of the request.
            accepts: Returns, for the headers of a response, whether the
                response belongs to the request; other responses are dropped.
            max_buffered_bytes: Largest body that is buffered whole, in bytes.
        """
        self._accepts = accepts
        self._max_buffered_bytes = max_buffered_bytes
        if self._head_request:
            # The parser cannot be told that the response to HEAD has no body,
            # so it still waits for one. The next response needs a new parser.
            self._parser = httptools.HttpResponseParser(self)
        self._head_request = method == 'HEAD'
        self._expects_response = True
        self._is_delivered = False
        self._skipped_responses = 0

    def feed(self, data: bytes) -> Response | None:
        """Parses more bytes.

        Returns:
            The response as soon as its body is complete, or, with a stream,
            as soon as its body exceeds the buffer; None before that.

        Raises:
            exceptions.MalformedRequestError: The bytes are not HTTP/1.1 or
                exceed a limit, and the response is not complete.
        """
        if not self._expects_response:
            self.unexpected_bytes = True
            return None
        try:
            self._feed_parser(data)
        except exceptions.MalformedRequestError:
            if self._expects_response:
                raise
            # The response was complete; only the bytes after it are malformed.
            self.unexpected_bytes = True
        self._pass_on_body()
        return self._take_response()

    def finish(self) -> Response | None:
        """Handles the orderly end of the connection.

        Returns:
            The response whose body ends with the connection; None if there is
            none.
        """
        if (
            not self.in_message
            or self._in_header
            or not self._body_ends_with_connection()
        ):
            return None
        try:
            self.on_message_complete()
        except exceptions.MalformedRequestError:
            return None
        return self._take_response()

    def connection_lost(self) -> None:
        """Ends an open body stream, because the connection was lost."""
        if self.stream is not None:
            self.stream.end(complete=False)
            self.stream = None

    def on_message_begin(self):
        """Resets the state for a new message."""
        if not self._expects_response:
            self.unexpected_bytes = True
        super().on_message_begin()
        self._body = bytearray()

    def on_headers_complete(self):
        """Checks the status; a response to HEAD ends with its headers."""
        self._end_header()
        self._status = self._parser.get_status_code()
        self._check_status()
        if self._head_request and self._status >= MIN_FINAL_STATUS:
            self._complete_response()

    def _check_status(self):
        """Refuses a status that HTTP does not define (RFC 9110, section 15).

        A response with such a status is none, whatever it looks like. An
        interim response has no body.
        """
        if not MIN_STATUS <= self._status <= MAX_STATUS:
            raise exceptions.MalformedRequestError(
                f'the status {self._status:03} does not exist'
            )
        if self._status < MIN_FINAL_STATUS and (
            b'content-length' in self._framing_headers
            or b'transfer-encoding' in self._framing_headers
        ):
            raise exceptions.MalformedRequestError(
                f'the interim response {self._status} has a body'
            )

    def on_body(self, body: bytes):
        """Stores a piece of the body, or passes it on."""
        self._has_reported = True
        self.body_parts += 1
        if self._is_delivered:
            self.unexpected_bytes = True
            return
        self._body += body
        if self.stream is None and len(self._body) > self._max_buffered_bytes:
            if not self._is_accepted():
                raise exceptions.MalformedRequestError(
                    'a large answer names another request'
                )
            self.stream = BodyStream(self._source)
            self._response = self._build_response(self.stream)
            self._source.pause()

    def on_message_complete(self):
        """Completes a response; an interim response (1xx) is dropped."""
        self._has_reported = True
        if self._status < MIN_FINAL_STATUS:
            self.in_message = False
            self._count_skipped_response()
            return
        if not self._is_delivered:
            self._complete_response()

    def _is_accepted(self) -> bool:
        return self._accepts is None or self._accepts(self._headers)

    def _complete_response(self):
        self.in_message = False
        if self.stream is None and not self._is_accepted():
            self.skipped_response = True
            self._count_skipped_response()
            return
        self._expects_response = False
        self._is_delivered = True
        if self.stream is not None:
            self._pass_on_body()
            stream, self.stream = self.stream, None
            stream.end(complete=True)
            return
        self._response = self._build_response(None)

    def _pass_on_body(self):
        """Passes on the body that arrived in one read.

        Passing on each chunk would write to the sink thousands of times for a
        read of small chunks.
        """
        if self.stream is not None and self._body:
            body, self._body = bytes(self._body), bytearray()
            self.stream.push(body)

    def _count_skipped_response(self):
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise exceptions.MalformedRequestError(
                f'more than {MAX_SKIPPED_RESPONSES} answers before the right '
                'one'
            )

    def _build_response(self, stream: BodyStream | None) -> Response:
        body, self._body = bytes(self._body), bytearray()
        return Response(
            status=self._status,
            headers=self._headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            content_length=self._content_length(),
            stream=stream,
        )

    def _take_response(self) -> Response | None:
        response, self._response = self._response, None
        return response

    def _body_ends_with_connection(self) -> bool:
        return (
            b'transfer-encoding' not in self._framing_headers
            and b'content-length' not in self._framing_headers
        )
