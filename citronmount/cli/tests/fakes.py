"""Servers that answer from a script, for tests of the command line."""

import msgspec

from citronmount.cli import calls

__all__ = ["Servers", "run"]


class Servers:
    """Answers calls by server and method, one after the other in a list.

    Attributes:
        asked: The servers that were asked, in order.
        pauses_ms: The pauses that the client made.
    """

    def __init__(self, **script):
        self.asked = []
        self.pauses_ms = []
        self._script = script

    async def send(self, server, call):
        """Answers a call, or raises the exception of the script."""
        self.asked.append(server)
        answer = self._script[server]
        if isinstance(answer, list):
            answer = answer.pop(0)
        if isinstance(answer, dict) and call.method in answer:
            answer = answer[call.method]
        if isinstance(answer, Exception):
            raise answer
        body = msgspec.json.encode(answer)
        return calls.Reply(server=server, status=200, body=body)

    async def sleep(self, pause_ms):
        """Notes a pause."""
        self.pauses_ms.append(pause_ms)


def run(coroutine):
    """Runs a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waited for something")
