"""The four rules, checked against servers' ledgers and clients' books. No word of the proxy counts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from standins.ledger import Ledger
from standins.load import Book, End, Try

SLACK_S = 0.05  # the network's and the two sides' clocks' reading: as the platform allows
DRAIN_S = 0.25


class Breach(NamedTuple):
    rule: int
    text: str


def check(
    book: Book, ledger: Ledger, drained_at: Mapping[str, float] | None = None, slack_s: float = SLACK_S
) -> list[Breach]:
    """`drained_at`: when the proxy was told of each server that it must not send to any more; `slack_s`: how
    long what was sent before an answer may be under way after it."""
    return [
        *no_request_lost(book, ledger, slack_s),
        *no_effect_twice(book, ledger),
        *drains_kept(ledger, drained_at or {}),
        *no_server_pushed_over(ledger),
    ]


def no_request_lost(book: Book, ledger: Ledger, slack_s: float = SLACK_S) -> list[Breach]:
    """Each try has one whole answer before its client gives up, and nothing is sent for it afterwards."""
    breaches = []
    of_request: dict[str, Try] = {}
    for one in book.tries:
        of_request[one.request] = one
        if one.end in (End.LOST, End.GAVE_UP, End.OPEN):
            breaches.append(Breach(1, f"{one.request} ({one.cls}) was {one.end} after {one.seconds:.3f} s"))
    for entry in ledger.entries:
        asked = of_request.get(entry.request)
        if asked is None:
            breaches.append(Breach(1, f"{entry.server} got {entry.request}, which no client sent"))
        elif asked.end in (End.ANSWERED, End.LEFT) and entry.first_byte_at > asked.ended_at + slack_s:
            breaches.append(Breach(1, f"{entry.server} got {entry.request} after its final answer"))
        elif asked.sent_again_at is not None and entry.first_byte_at < asked.sent_again_at - SLACK_S:
            breaches.append(Breach(1, f"{entry.request} had been taken when its connection was closed"))
    return breaches


def no_effect_twice(book: Book, ledger: Ledger) -> list[Breach]:
    """What a client wants done takes effect once at most, over all its tries, unless it is safe to repeat.
    And a refusal is said only where nothing ran, or where running again is dropped."""
    breaches = []
    effects = ledger.effects()
    done: dict[tuple[str, int], int] = {}
    for one in book.tries:
        if one.effect == "safe":
            continue
        ran = effects.get(one.request, [])
        order = one.request.rpartition("-")[0], one.order
        done[order] = done.get(order, 0) + len(ran)
        if done[order] > 1 and ran:
            breaches.append(Breach(2, f"{one.request} ({one.effect} {one.cls}) took effect again"))
        if one.effect == "unsafe" and one.was_refused and ran:
            breaches.append(Breach(2, f"{one.request} (unsafe {one.cls}) was refused though it had run"))
    return breaches


def drains_kept(ledger: Ledger, drained_at: Mapping[str, float]) -> list[Breach]:
    return [
        Breach(
            3,
            f"{entry.server} got {entry.request} "
            f"{entry.first_byte_at - drained_at[entry.server]:.3f} s after it was to get nothing",
        )
        for entry in ledger.entries
        if entry.first_byte_at > drained_at.get(entry.server, float("inf")) + DRAIN_S + SLACK_S
    ]


def no_server_pushed_over(ledger: Ledger) -> list[Breach]:
    return [Breach(4, f"{server} was pushed over at {at:.3f}") for server, at in ledger.falls]
