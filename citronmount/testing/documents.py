"""Extracts links and HTTP examples from the project's Markdown files."""

from collections.abc import Iterator
import pathlib
import re
import shlex

import msgspec

__all__ = ["CurlExample", "broken_links", "curl_examples", "markdown_files"]

_LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
_EXTERNAL = ("http://", "https://", "mailto:")
_CURL_EXAMPLE = re.compile(
    r"Answers `(\d{3})`:\n\n```sh\n(curl .+?)\n```", re.DOTALL
)
_IGNORED_DIRECTORIES = frozenset({".venv", "build", "dist", "node_modules"})


class CurlExample(msgspec.Struct, frozen=True, kw_only=True):
    """A call of the HTTP API that is shown in a document.

    Attributes:
        status: The HTTP status that the document states for the call.
        method: The HTTP method.
        url: The URL, in which shell variables are not expanded.
        body: The request body, or ``@`` followed by the name of a file that
            contains it; empty if there is none.
    """

    status: int
    method: str
    url: str
    body: str


def markdown_files(root: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yields the Markdown files of the project, sorted by path.

    Args:
        root: The root directory of the repository.

    Yields:
        The path of each file outside of `_IGNORED_DIRECTORIES`.
    """
    for path in sorted(root.rglob("*.md")):
        if _IGNORED_DIRECTORIES.isdisjoint(path.relative_to(root).parts):
            yield path


def broken_links(document: pathlib.Path) -> list[str]:
    """Returns the relative links of a document whose target does not exist.

    Args:
        document: A Markdown file.

    Returns:
        The link targets as they are written, without fragments.
    """
    links = _LINK.findall(document.read_text(encoding="utf-8"))
    return [
        link
        for link in links
        if not link.startswith(_EXTERNAL)
        and not (document.parent / link).exists()
    ]


def curl_examples(document: pathlib.Path) -> Iterator[CurlExample]:
    """Yields the curl examples of a document that state an HTTP status.

    An example is a line that ends in ``Answers `STATUS`:``, an empty line and
    a ``sh`` code block with one curl command.

    Args:
        document: A Markdown file.

    Yields:
        The examples in the order of the document.
    """
    text = document.read_text(encoding="utf-8")
    for status, command in _CURL_EXAMPLE.findall(text):
        yield _parse_curl_arguments(int(status), shlex.split(command)[1:])


def _parse_curl_arguments(status: int, arguments: list[str]) -> CurlExample:
    method = "GET"
    body = url = ""
    remaining = iter(arguments)
    for argument in remaining:
        if argument == "-X":
            method = next(remaining)
        elif argument in ("-d", "--data-binary"):
            body = next(remaining)
        else:
            url = argument
    return CurlExample(status=status, method=method, url=url, body=body)
