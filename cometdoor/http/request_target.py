"""Targets of requests in absolute form, such as "http://host:1/a?b" (RFC 9112, 3.2.2). No I/O."""

from __future__ import annotations

import re
from typing import NamedTuple

from cometdoor.http.messages import BadRequestError, ClientRequest

# The authority, and the path with its query; neither user information (RFC 9110, 4.2.4) nor a fragment.
ABSOLUTE_TARGET = re.compile(rb"https?://([^/?#@]+)([/?][^#]*)?", re.IGNORECASE)


class AbsoluteTarget(NamedTuple):
    """A target in absolute form: the authority, and the rest in origin form."""

    authority: bytes
    origin_form: bytes


def split_absolute_target(target: bytes) -> AbsoluteTarget | None:
    """Split a target in absolute form; None if it is in another form."""
    match = ABSOLUTE_TARGET.fullmatch(target)
    if match is None:
        return None
    path_and_query = match[2] or b"/"
    return AbsoluteTarget(
        match[1], path_and_query if path_and_query.startswith(b"/") else b"/" + path_and_query
    )


def set_origin_form(request: ClientRequest, target: AbsoluteTarget) -> None:
    """Give a request its target in origin form, and the authority as its Host, whatever that was before."""
    request.target = target.origin_form
    request.headers = [
        (name, target.authority if name.lower() == b"host" else value) for name, value in request.headers
    ]


def use_origin_form(request: ClientRequest) -> None:
    """Give a request in absolute form the form of all others; a path stays as it is.

    Raises
    ------
    BadRequestError
        With status 400, if the target has neither form.
    """
    if request.target.startswith(b"/"):
        return
    target = split_absolute_target(request.target)
    if target is None:
        raise BadRequestError(400, "the target is no path")
    set_origin_form(request, target)
