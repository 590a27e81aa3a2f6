"""Reports: what is in them, what goes first where not all fits, and what is no report."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.planning.reports import (
    BEAT_MS,
    FINENESS,
    MOST,
    BadReport,
    Entry,
    Failure,
    Report,
    Reporter,
    first_beat_ms,
    next_beat_ms,
    read_report,
    server_id,
)
from cometdoor.planning.wire import MAX_BODY
from jasperhall.api import Outcome


def reporter(count: int = 3) -> Reporter:
    made = Reporter()
    made.listed((f"s{number}", 0) for number in range(count))
    return made


def call(made: Reporter, server: str, outcome: Outcome, ms: float, at: float = 0.0) -> None:
    made.sent(server, ("r", 0), 100.0, at)
    made.ended(server, ("r", 0), outcome, 100.0, at + ms)


def entries(report: Report) -> dict[bytes, Entry]:
    return {entry.server: entry for entry in report.entries}


def test_a_report_says_what_was_seen_and_the_next_starts_anew() -> None:
    made = reporter()
    call(made, "s0", Outcome.OK, 100.0)
    call(made, "s0", Outcome.OK, 400.0)
    for outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT, Outcome.FULL):
        call(made, "s1", outcome, 10.0)
    call(made, "s1", Outcome.CANCELLED, 10.0)
    made.sent("s2", ("r", 1), 100.0, 500.0)
    report = read_report(made.report(0.25, 1700.0))
    found = entries(report)
    assert (report.beat, report.sends, report.warm_rate, report.servers) == (1, 9, 250_000, 3)
    assert found[server_id("s0")] == Entry(server_id("s0"), 0, 2, (0, 0, 0, 0, 0), FINENESS, 13, 0)
    assert found[server_id("s1")].failures == (1, 2, 1, 1, 0)
    assert (found[server_id("s2")].quiet, found[server_id("s2")].late) == (MOST, 3)
    report = read_report(made.report(0.25, 2000.0))
    assert report.beat == 2 and report.sends == 0
    assert entries(report)[server_id("s1")].failures == (0, 0, 0, 0, 0)
    assert entries(report)[server_id("s2")].late == 6


def test_a_server_that_starts_anew_or_leaves_the_list_takes_nothing_along() -> None:
    made = reporter(2)
    call(made, "s0", Outcome.ERROR, 1.0)
    call(made, "s1", Outcome.ERROR, 1.0)
    made.listed([("s0", 77)])
    made.ended("s1", ("r", 0), Outcome.OK, 100.0, 5.0)
    (entry,) = read_report(made.report(0.0, 10.0)).entries
    assert (entry.server, entry.started, entry.failures) == (server_id("s0"), 77, (0, 0, 0, 0, 0))


def test_what_is_surprising_goes_first_and_all_has_its_turn() -> None:
    made = reporter(300)
    call(made, "s250", Outcome.TIMEOUT, 10.0)
    made.sent("s251", ("r", 9), 100.0, 0.0)
    first = read_report(made.report(0.0, 3000.0))
    assert [entry.server for entry in first.entries[:2]] == [server_id("s251"), server_id("s250")]
    told = {entry.server for entry in first.entries}
    for beat in range(60):
        call(made, "s250", Outcome.TIMEOUT, 10.0, 3000.0)
        told |= {entry.server for entry in read_report(made.report(0.0, 4000.0 + beat)).entries}
    assert len(told) == 300


def test_a_server_that_is_sick_all_the_time_keeps_no_other_from_its_turn() -> None:
    made = reporter(100)
    told: set[bytes] = set()
    for beat in range(60):
        for number in range(50):
            call(made, f"s{number}", Outcome.ERROR, 1.0)
        told |= {entry.server for entry in read_report(made.report(0.0, float(beat))).entries}
    assert len(told) == 100


@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from(list(Outcome)), st.floats(0.0, 1e7)), max_size=60
    ),
    st.integers(0, 400),
    st.integers(0, 2**16 - 1),
    st.floats(0.0, 1e3),
)
def test_every_report_fits_a_note_and_can_be_read(
    calls: list[tuple[int, Outcome, float]], servers: int, started: int, rate: float
) -> None:
    made = Reporter()
    made.listed((f"s{number}", started) for number in range(servers))
    for number, (server, outcome, ms) in enumerate(calls):
        made.sent(f"s{server}", ("r", number), 100.0, 0.0)
        if number % 3:
            made.ended(f"s{server}", ("r", number), outcome, 100.0, ms)
    body = made.report(rate, 1e7)
    assert len(body) <= MAX_BODY
    report = read_report(body)
    assert len(report.entries) >= min(servers, 6)
    assert len({entry.server for entry in report.entries}) == len(report.entries)


@pytest.mark.parametrize(
    "bad",
    [
        Report(-1, 0, 0, 0, []),
        Report(0, 0, 0, 0, [Entry(b"x", 0, 0, (0, 0, 0, 0, 0), 0, 0, 0)]),
        Report(0, 0, 0, 0, [Entry(b"x" * 6, 0, -1, (0, 0, 0, 0, 0), 0, 0, 0)]),
        Report(0, 0, 0, 0, [Entry(b"x" * 6, 0, MOST + 1, (0, 0, 0, 0, 0), 0, 0, 0)]),
        Report(0, 0, 0, 0, [Entry(b"x" * 6, 0, 0, (0, 0, 0, 0, 0), -MOST - 1, 0, 0)]),
    ],
)
def test_what_no_forwarder_says_is_no_report(bad: Report) -> None:
    with pytest.raises(BadReport):
        read_report(msgspec.msgpack.encode(bad))


@given(st.binary(max_size=MAX_BODY))
def test_garbage_is_no_report(body: bytes) -> None:
    with pytest.raises(BadReport):
        read_report(body)


def test_beats_are_spread() -> None:
    random = Random(1)
    firsts = [first_beat_ms(random) for _ in range(1000)]
    assert 0.0 <= min(firsts) < 0.01 * BEAT_MS and 0.99 * BEAT_MS < max(firsts) <= BEAT_MS
    beats = [next_beat_ms(random) for _ in range(1000)]
    assert 0.8 * BEAT_MS <= min(beats) < max(beats) <= 1.2 * BEAT_MS
    assert abs(sum(beats) / 1000 - BEAT_MS) < 0.02 * BEAT_MS


def test_calls_that_were_called_off_late_tell_against_their_server() -> None:
    made = reporter()
    call(made, "s1", Outcome.CANCELLED, 900.0)  # nothing is known yet of how long answers take
    for _ in range(5):
        call(made, "s0", Outcome.OK, 100.0)
    call(made, "s1", Outcome.CANCELLED, 150.0)  # a copy that came second, or a client that left
    call(made, "s1", Outcome.CANCELLED, 250.0)
    found = entries(read_report(made.report(0.0, 1000.0)))
    assert found[server_id("s1")].failures[Failure.OVERTAKEN] == 1
    assert found[server_id("s0")].failures == (0, 0, 0, 0, 0)
