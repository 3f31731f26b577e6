"""Addresses of services: an IP address and a port, never a host name."""

import ipaddress

__all__ = ["Address", "parse"]

MAX_PORT = 65_535

Address = tuple[ipaddress.IPv4Address | ipaddress.IPv6Address, int]


def parse(text: str) -> Address | None:
    """Parses an IP address and a port.

    Args:
        text: ``ip:port``, with an IPv6 address in brackets.

    Returns:
        The IP address and the port, or None if the text is malformed or the
        port is not from 1 to `MAX_PORT`.

    Example:
        >>> parse("[::1]:8080")
        (IPv6Address('::1'), 8080)
        >>> parse("localhost:8080") is None
        True
        >>> parse("10.0.0.1:80800") is None
        True
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return None
    if not 1 <= int(port) <= MAX_PORT:
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return None
    if bracketed != (ip.version == 6):
        return None
    return ip, int(port)
