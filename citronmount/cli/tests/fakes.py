"""Fake servers that reply from a script, for tests of the command line."""

import msgspec

from citronmount.cli import calls

__all__ = ["ScriptedServers", "run_to_completion"]


class ScriptedServers:
    """A transport whose servers reply as a script says.

    The script gives a reply for each server: a body to encode, an exception to
    raise, a list of these for successive calls, or a dictionary of them by
    HTTP method.

    Attributes:
        called: The servers that were called, in order.
        pauses_ms: The pauses that the client made, in order.
    """

    def __init__(self, **script):
        self.called = []
        self.pauses_ms = []
        self._script = script

    async def send(self, server, call):
        """Returns the reply of the script or raises its exception."""
        self.called.append(server)
        reply = self._script[server]
        if isinstance(reply, list):
            reply = reply.pop(0)
        if isinstance(reply, dict) and call.method in reply:
            reply = reply[call.method]
        if isinstance(reply, Exception):
            raise reply
        body = msgspec.json.encode(reply)
        return calls.Reply(server=server, status=200, body=body)

    async def sleep(self, pause_ms):
        """Records a pause without waiting."""
        self.pauses_ms.append(pause_ms)


def run_to_completion(coroutine):
    """Runs a coroutine that never suspends and returns its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("expected a coroutine that never suspends")
