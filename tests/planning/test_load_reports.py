"""Load reports: their content, the priority of servers if not all fit, and invalid reports."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometdoor.balancing.api import Outcome
from cometdoor.planning.load_reports import (
    LATENCY_STEPS_PER_DOUBLING,
    MAX_COUNT,
    REPORT_INTERVAL_MS,
    FailureKind,
    InvalidReportError,
    LoadReport,
    LoadReporter,
    ServerReport,
    decode_report,
    first_report_delay_ms,
    next_report_delay_ms,
    server_id,
)
from cometdoor.planning.sealed_messages import MAX_BODY_BYTES


def reporter(count: int = 3) -> LoadReporter:
    load_reporter = LoadReporter()
    load_reporter.update_servers((f"s{number}", 0) for number in range(count))
    return load_reporter


def call(load_reporter: LoadReporter, server: str, outcome: Outcome, ms: float, at: float = 0.0) -> None:
    load_reporter.on_attempt_sent(server, ("r", 0), 100.0, at)
    load_reporter.on_attempt_ended(server, ("r", 0), outcome, 100.0, at + ms)


def entries(report: LoadReport) -> dict[bytes, ServerReport]:
    return {entry.server: entry for entry in report.entries}


def test_a_report_has_what_was_observed_since_the_last_one() -> None:
    load_reporter = reporter()
    call(load_reporter, "s0", Outcome.OK, 100.0)
    call(load_reporter, "s0", Outcome.OK, 400.0)
    for outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT, Outcome.REJECTED):
        call(load_reporter, "s1", outcome, 10.0)
    call(load_reporter, "s1", Outcome.CANCELLED, 10.0)
    load_reporter.on_attempt_sent("s2", ("r", 1), 100.0, 500.0)
    report = decode_report(load_reporter.report(0.25, 1700.0))
    reported = entries(report)
    assert (report.sequence_number, report.sends, report.warm_rate, report.servers) == (1, 9, 250_000, 3)
    assert reported[server_id("s0")] == ServerReport(
        server_id("s0"), 0, 2, (0, 0, 0, 0, 0), LATENCY_STEPS_PER_DOUBLING, 13, 0
    )
    assert reported[server_id("s1")].failures == (1, 2, 1, 1, 0)
    assert (reported[server_id("s2")].since_answer_tenths_s, reported[server_id("s2")].overdue_tenths_s) == (
        MAX_COUNT,
        3,
    )
    report = decode_report(load_reporter.report(0.25, 2000.0))
    assert report.sequence_number == 2 and report.sends == 0
    assert entries(report)[server_id("s1")].failures == (0, 0, 0, 0, 0)
    assert entries(report)[server_id("s2")].overdue_tenths_s == 6


def test_a_server_that_restarts_or_is_delisted_loses_its_observations() -> None:
    load_reporter = reporter(2)
    call(load_reporter, "s0", Outcome.ERROR, 1.0)
    call(load_reporter, "s1", Outcome.ERROR, 1.0)
    load_reporter.update_servers([("s0", 77)])
    load_reporter.on_attempt_ended("s1", ("r", 0), Outcome.OK, 100.0, 5.0)
    (entry,) = decode_report(load_reporter.report(0.0, 10.0)).entries
    assert (entry.server, entry.start_number, entry.failures) == (server_id("s0"), 77, (0, 0, 0, 0, 0))


def test_deviating_servers_are_reported_first_and_every_server_in_turn() -> None:
    load_reporter = reporter(300)
    call(load_reporter, "s250", Outcome.TIMEOUT, 10.0)
    load_reporter.on_attempt_sent("s251", ("r", 9), 100.0, 0.0)
    first = decode_report(load_reporter.report(0.0, 3000.0))
    assert [entry.server for entry in first.entries[:2]] == [server_id("s251"), server_id("s250")]
    reported_servers = {entry.server for entry in first.entries}
    for sequence_number in range(60):
        call(load_reporter, "s250", Outcome.TIMEOUT, 10.0, 3000.0)
        reported_servers |= {
            entry.server
            for entry in decode_report(load_reporter.report(0.0, 4000.0 + sequence_number)).entries
        }
    assert len(reported_servers) == 300


def test_a_permanently_unhealthy_server_does_not_displace_others_from_reports() -> None:
    load_reporter = reporter(100)
    reported_servers: set[bytes] = set()
    for sequence_number in range(60):
        for number in range(50):
            call(load_reporter, f"s{number}", Outcome.ERROR, 1.0)
        reported_servers |= {
            entry.server for entry in decode_report(load_reporter.report(0.0, float(sequence_number))).entries
        }
    assert len(reported_servers) == 100


@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from(list(Outcome)), st.floats(0.0, 1e7)), max_size=60
    ),
    st.integers(0, 400),
    st.integers(0, 2**16 - 1),
    st.floats(0.0, 1e3),
)
def test_every_report_fits_a_message_and_can_be_decoded(
    calls: list[tuple[int, Outcome, float]], servers: int, start_number: int, rate: float
) -> None:
    load_reporter = LoadReporter()
    load_reporter.update_servers((f"s{number}", start_number) for number in range(servers))
    for number, (server, outcome, ms) in enumerate(calls):
        load_reporter.on_attempt_sent(f"s{server}", ("r", number), 100.0, 0.0)
        if number % 3:
            load_reporter.on_attempt_ended(f"s{server}", ("r", number), outcome, 100.0, ms)
    body = load_reporter.report(rate, 1e7)
    assert len(body) <= MAX_BODY_BYTES
    report = decode_report(body)
    assert len(report.entries) >= min(servers, 6)
    assert len({entry.server for entry in report.entries}) == len(report.entries)


@pytest.mark.parametrize(
    "invalid",
    [
        LoadReport(-1, 0, 0, 0, []),
        LoadReport(0, 0, 0, 0, [ServerReport(b"x", 0, 0, (0, 0, 0, 0, 0), 0, 0, 0)]),
        LoadReport(0, 0, 0, 0, [ServerReport(b"x" * 6, 0, -1, (0, 0, 0, 0, 0), 0, 0, 0)]),
        LoadReport(0, 0, 0, 0, [ServerReport(b"x" * 6, 0, MAX_COUNT + 1, (0, 0, 0, 0, 0), 0, 0, 0)]),
        LoadReport(0, 0, 0, 0, [ServerReport(b"x" * 6, 0, 0, (0, 0, 0, 0, 0), -MAX_COUNT - 1, 0, 0)]),
    ],
)
def test_a_report_with_values_out_of_range_is_invalid(invalid: LoadReport) -> None:
    with pytest.raises(InvalidReportError):
        decode_report(msgspec.msgpack.encode(invalid))


@given(st.binary(max_size=MAX_BODY_BYTES))
def test_garbage_is_an_invalid_report(body: bytes) -> None:
    with pytest.raises(InvalidReportError):
        decode_report(body)


def test_reports_are_spread_in_time() -> None:
    random = Random(1)
    first_delays = [first_report_delay_ms(random) for _ in range(1000)]
    assert (
        0.0 <= min(first_delays) < 0.01 * REPORT_INTERVAL_MS
        and 0.99 * REPORT_INTERVAL_MS < max(first_delays) <= REPORT_INTERVAL_MS
    )
    delays = [next_report_delay_ms(random) for _ in range(1000)]
    assert 0.8 * REPORT_INTERVAL_MS <= min(delays) < max(delays) <= 1.2 * REPORT_INTERVAL_MS
    assert abs(sum(delays) / 1000 - REPORT_INTERVAL_MS) < 0.02 * REPORT_INTERVAL_MS


def test_calls_that_were_cancelled_late_count_against_their_server() -> None:
    load_reporter = reporter()
    call(load_reporter, "s1", Outcome.CANCELLED, 900.0)  # the usual latency is not known yet
    for _ in range(5):
        call(load_reporter, "s0", Outcome.OK, 100.0)
    call(
        load_reporter, "s1", Outcome.CANCELLED, 150.0
    )  # an attempt that lost to its hedge, or a client that disconnected
    call(load_reporter, "s1", Outcome.CANCELLED, 250.0)
    reported = entries(decode_report(load_reporter.report(0.0, 1000.0)))
    assert reported[server_id("s1")].failures[FailureKind.CANCELLED_LATE] == 1
    assert reported[server_id("s0")].failures == (0, 0, 0, 0, 0)
