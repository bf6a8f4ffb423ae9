"""Normalisation of request paths for route matching; ambiguous paths are refused."""

import re

from corianderwall.model.errors import CorianderwallError, ErrorCode

MAX_PATH_CHARS = 8192
PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)*/?")
ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})?")
FORBIDDEN = re.compile(r"[\x00-\x20\x7f\\]")
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
FORBIDDEN_ESCAPES = frozenset("/\\%;")


def normalise_path(path: str) -> str:
    """Return the path for route matching, without query, fragment and path parameters.

    Raise `MALFORMED_REQUEST` for a path that an upstream may interpret differently: one with dot
    segments, empty segments, or escaped or raw separators and control characters.
    """
    path = path.partition("?")[0]
    if PLAIN_PATH.fullmatch(path):
        return path or "/"
    return _normalise_unusual(path)


def _normalise_unusual(path: str) -> str:
    if not path.startswith("/"):
        raise _malformed("it does not start with /")
    if len(path) > MAX_PATH_CHARS:
        raise _malformed("it is too long")
    path = ESCAPE.sub(_decode_escape, path.partition("#")[0])
    if FORBIDDEN.search(path):
        raise _malformed("it holds a control character, a space or a backslash")
    segments = [segment.partition(";")[0] for segment in path.split("/")[1:]]
    for segment in segments[:-1]:
        if not segment:
            raise _malformed("it has an empty segment")
    if any(segment in (".", "..") for segment in segments):
        raise _malformed("it has a dot segment")
    return "/" + "/".join(segments)


def _decode_escape(match: re.Match[str]) -> str:
    digits = match.group(1)
    if digits is None:
        raise _malformed("it has a broken escape")
    character = chr(int(digits, 16))
    if character in FORBIDDEN_ESCAPES or (character != " " and FORBIDDEN.match(character)):
        raise _malformed("it escapes a separator or a control character")
    return character if character in UNRESERVED else match.group(0).upper()


def _malformed(reason: str) -> CorianderwallError:
    return CorianderwallError(ErrorCode.MALFORMED_REQUEST, f"the path is refused: {reason}")
