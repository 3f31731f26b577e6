"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from urllib import parse

__all__ = ["Reply", "Request", "call", "json_reply", "serve"]

_REASONS = {200: "OK", 410: "Gone", 409: "Conflict", 404: "Not Found"}


@dataclasses.dataclass
class Request:
    """A request: method, path, query, headers and body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


@dataclasses.dataclass
class Reply:
    """A response; `lost` closes the connection without sending it."""

    status: int = 200
    body: bytes = b"{}"
    lost: bool = False


Handler = Callable[[Request], Awaitable[Reply]]


def json_reply(status: int = 200, **fields: object) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(status=status, body=json.dumps(fields).encode("utf-8"))


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    return Request(
        method=method,
        path=path,
        query=dict(parse.parse_qsl(query)),
        headers=headers,
        body=body,
    )


async def serve(port: int, handler: Handler) -> asyncio.Server:
    """Serves requests on a loopback port."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                reply = await handler(await _read_request(reader))
                if reply.lost:
                    return
                reason = _REASONS.get(reply.status, "Status")
                head = (
                    f"HTTP/1.1 {reply.status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(reply.body)}\r\n\r\n"
                )
                writer.write(head.encode("latin-1") + reply.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, "127.0.0.1", port)


def _join_chunks(data: bytes) -> bytes:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size, 16)
        body += data[:count]
        data = data[count + 2 :]
    return body


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Sends a request on a new connection; status 0 means no answer."""

    async def exchange() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines.append(f"Content-Length: {len(body)}")
            head = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(head.encode("latin-1") + body)
            raw = await reader.read()
        finally:
            writer.close()
        answer_head, _, answer = raw.partition(b"\r\n\r\n")
        if not answer_head:
            return 0, b""
        if b"transfer-encoding: chunked" in answer_head.lower():
            answer = _join_chunks(answer)
        return int(answer_head.split(b" ", 2)[1]), answer

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (TimeoutError, OSError):
        return 0, b""
