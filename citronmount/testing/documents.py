"""Reads the project's documents: their links and their examples."""

from collections.abc import Iterator
import pathlib
import re
import shlex

import msgspec

__all__ = ["CurlExample", "broken_links", "curl_examples", "markdown_files"]

_LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
_EXTERNAL = ("http://", "https://", "mailto:")
_EXAMPLE = re.compile(
    r"Answers `(\d{3})`:\n\n```sh\n(curl .+?)\n```", re.DOTALL
)
_IGNORED = frozenset({".venv", "build", "dist", "node_modules"})


class CurlExample(msgspec.Struct, frozen=True, kw_only=True):
    """One call of the HTTP API as a document shows it.

    Attributes:
        status: The HTTP status that the document promises.
        method: The HTTP method.
        url: The URL, with variables.
        body: The body, or the name of a file after ``@``.
    """

    status: int
    method: str
    url: str
    body: str


def markdown_files(root: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yields every document of the project.

    Args:
        root: The root of the repository.

    Yields:
        The paths of the Markdown files.
    """
    for path in sorted(root.rglob("*.md")):
        if _IGNORED.isdisjoint(path.relative_to(root).parts):
            yield path


def broken_links(document: pathlib.Path) -> list[str]:
    """Returns the relative links of a document that lead nowhere.

    Args:
        document: A Markdown file.

    Returns:
        The targets of the links, as written.
    """
    links = _LINK.findall(document.read_text(encoding="utf-8"))
    return [
        link
        for link in links
        if not link.startswith(_EXTERNAL)
        and not (document.parent / link).exists()
    ]


def curl_examples(document: pathlib.Path) -> Iterator[CurlExample]:
    """Yields the examples that a document promises an HTTP status for.

    Args:
        document: A Markdown file.

    Yields:
        The examples, in order.
    """
    text = document.read_text(encoding="utf-8")
    for status, command in _EXAMPLE.findall(text):
        yield _parse(int(status), shlex.split(command)[1:])


def _parse(status: int, arguments: list[str]) -> CurlExample:
    method = "GET"
    body = url = ""
    rest = iter(arguments)
    for argument in rest:
        if argument == "-X":
            method = next(rest)
        elif argument in ("-d", "--data-binary"):
            body = next(rest)
        else:
            url = argument
    return CurlExample(status=status, method=method, url=url, body=body)
