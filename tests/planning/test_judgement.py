"""Whom planners hold to be sick, and whom they do not."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

import pytest

from cometdoor.planning import judgement
from cometdoor.planning.judgement import FORGET_MS, LEAST, MAX_WITNESSES, STANDS_MS, Picture, State
from cometdoor.planning.reports import FINENESS, Entry, Report, server_id

SERVERS = [server_id(f"s{number}") for number in range(10)]
Sees = Callable[[int, int, int], Entry]  # forwarder, server, beat


def well(forwarder: int, server: int, beat: int, started: int = 0) -> Entry:
    return Entry(SERVERS[server], started, 5, (0, 0, 0, 0, 0), -16, 1, 0)


def frozen(forwarder: int, server: int, beat: int) -> Entry:
    return Entry(SERVERS[server], 0, 0, (0, 0, 0, 0, 0), 0, 3, min(5 * beat, 127))


def failing(forwarder: int, server: int, beat: int) -> Entry:
    return Entry(SERVERS[server], 0, 1, (1, 3, 0, 0, 0), -16, 0, 0)


def slow(forwarder: int, server: int, beat: int) -> Entry:
    return Entry(SERVERS[server], 0, 5, (0, 0, 0, 0, 0), 0, 1, 1)


def full(forwarder: int, server: int, beat: int) -> Entry:
    return Entry(SERVERS[server], 0, 5, (0, 0, 0, 9, 0), -16, 1, 0)


def picture(sees: Sees, forwarders: int = 6, beats: int = 6, servers: int = 10) -> Picture:
    made = Picture()
    for beat in range(1, beats + 1):
        for number in range(forwarders):
            entries = [sees(number, server, beat) for server in range(servers)]
            made.heard(number, Report(beat, 50, 1000, servers, entries), 500.0 * beat + number)
    return made


def states(made: Picture, now: float = 3010.0) -> dict[int, State]:
    return {SERVERS.index(name): verdict.state for name, verdict in made.judge(now).items()}


def one(server: int, seen: Sees) -> Sees:
    return lambda number, place, beat: (seen if place == server else well)(number, place, beat)


def test_where_all_is_well_nobody_is_named() -> None:
    assert states(picture(well)) == {}


@pytest.mark.parametrize(
    ("seen", "state"), [(frozen, State.FROZEN), (failing, State.FAILING), (slow, State.SLOW)]
)
def test_a_sick_server_is_named_for_what_it_has(seen: Sees, state: State) -> None:
    found = picture(one(3, seen)).judge(3010.0)
    assert {SERVERS.index(name): verdict.state for name, verdict in found.items()} == {3: state}
    (verdict,) = found.values()
    assert LEAST <= verdict.factor < 0.5 and verdict.voices == verdict.witnesses == 6


def test_a_frozen_server_is_named_within_two_beats() -> None:
    assert states(picture(one(3, frozen), beats=2), 1010.0) == {3: State.FROZEN}


def test_a_server_that_is_full_is_not_sick() -> None:
    assert states(picture(one(3, full))) == {}


@pytest.mark.parametrize("seen", [frozen, failing, slow])
def test_what_befalls_all_alike_is_nobodys_fault(seen: Sees) -> None:
    assert states(picture(seen)) == {}


def test_a_shared_slowdown_that_grows_blames_nobody() -> None:
    random = Random(3)

    def slower(number: int, server: int, beat: int) -> Entry:
        return Entry(SERVERS[server], 0, 5, (0, 0, 0, 0, 0), -16 + 4 * beat + random.randint(-3, 3), 1, 1)

    assert states(picture(slower)) == {}


@pytest.mark.parametrize("seen", [frozen, failing, slow])
def test_one_forwarder_with_a_bad_way_blames_nobody(seen: Sees) -> None:
    def sees(number: int, server: int, beat: int) -> Entry:
        return (seen if number == 2 else well)(number, server, beat)

    assert states(picture(sees)) == {}


def test_one_forwarder_with_a_bad_way_does_not_hide_a_sick_server() -> None:
    def sees(number: int, server: int, beat: int) -> Entry:
        return (failing if number == 2 or server == 5 else well)(number, server, beat)

    assert states(picture(sees)) == {5: State.FAILING}


def test_one_voice_among_several_is_not_enough_and_a_lone_one_is() -> None:
    def sees(number: int, server: int, beat: int) -> Entry:
        return (failing if number == 2 and server == 5 else well)(number, server, beat)

    assert states(picture(sees)) == {}
    assert states(picture(one(5, failing), forwarders=1)) == {5: State.FAILING}


def test_nonsense_of_one_forwarder_changes_no_verdict_and_hardly_the_rate() -> None:
    def sees(number: int, server: int, beat: int) -> Entry:
        if number == 2:
            return Entry(SERVERS[server], 0, 127, (127, 127, 127, 127, 127), 127, 127, 127)
        return well(number, server, beat)

    made = picture(sees)
    assert states(made) == {}
    assert made.warm_rate() == pytest.approx(6 * 0.001)
    made.heard(2, Report(9, 10**9, 10**12, 10, []), 3010.0)
    assert made.warm_rate() == pytest.approx(7 * 0.001)


def test_a_server_that_recovered_or_started_anew_is_well_again() -> None:
    made = picture(one(3, failing))
    assert states(made) == {3: State.FAILING}
    for number in range(6):
        made.heard(number, Report(9, 0, 0, 10, [well(number, 3, 9, started=7)]), 3020.0)
    assert states(made, 3030.0) == {}


def test_what_is_old_is_forgotten() -> None:
    made = picture(one(3, failing))
    assert made.reporting() == 6
    made.forget_old(3010.0 + FORGET_MS)
    assert made.reporting() == 0 and states(made, 3010.0 + FORGET_MS) == {}
    assert not made._servers


def test_memory_is_bounded_by_servers_and_witnesses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(judgement, "MAX_SERVERS", 4)
    made = picture(well, forwarders=40)
    assert len(made._servers) == 4
    assert max(len(server.witnesses) for server in made._servers.values()) <= MAX_WITNESSES


def overtaken(forwarder: int, server: int, beat: int) -> Entry:
    """Copies are answered before anything times out."""
    return Entry(SERVERS[server], 0, 0, (0, 0, 0, 0, 2), 0, 0, 0)


def test_a_server_whose_calls_are_all_overtaken_is_frozen() -> None:
    assert states(picture(one(3, overtaken))) == {3: State.FROZEN}


def test_a_server_that_is_overtaken_now_and_then_is_well() -> None:
    def sees(number: int, server: int, beat: int) -> Entry:
        return Entry(SERVERS[server], 0, 5, (0, 0, 0, 0, int((number + beat) % 3 == 0)), -16, 1, 0)

    assert states(picture(one(3, sees))) == {}


def unused(forwarder: int, server: int, beat: int) -> Entry:
    return Entry(SERVERS[server], 0, 0, (0, 0, 0, 0, 0), 0, 0, 0)


def go_on(made: Picture, sees: Sees, beats: range) -> None:
    for beat in beats:
        for number in range(6):
            entries = [sees(number, server, beat) for server in range(10)]
            made.heard(number, Report(beat, 50, 1000, 10, entries), 500.0 * beat + number)


def test_a_verdict_stands_for_a_time_while_nobody_sends() -> None:
    made = picture(one(3, frozen))
    assert states(made) == {3: State.FROZEN}
    go_on(made, one(3, unused), range(7, 22))
    assert states(made, 10_510.0) == {3: State.FROZEN}
    go_on(made, one(3, unused), range(22, 30))
    assert states(made, 3010.0 + STANDS_MS + 10.0) == {}


def test_a_verdict_ends_with_the_first_answers() -> None:
    made = picture(one(3, frozen))
    assert states(made) == {3: State.FROZEN}
    go_on(made, one(3, unused), range(7, 16))
    go_on(made, well, range(16, 17))
    assert states(made, 8510.0) == {}


def test_a_verdict_on_a_server_does_not_outlive_its_start() -> None:
    made = picture(one(3, frozen))
    assert states(made) == {3: State.FROZEN}
    go_on(made, one(3, lambda number, server, beat: well(number, server, beat, 77)), range(7, 8))
    assert states(made, 3510.0) == {}


def named_by_chance(fleets: int) -> int:
    """Verdicts on servers that are all well, with few calls, exponential times, and one in 30 overtaken."""
    named = 0
    for seed in range(fleets):
        random = Random(seed)

        def sees(number: int, server: int, beat: int, random: Random = random) -> Entry:
            calls = random.randrange(4)
            late = sum(random.random() < 1 / 30 for _ in range(calls))
            times = [math.log2(random.expovariate(1.0)) for _ in range(calls - late)]
            speed = round(FINENESS * sum(times) / len(times)) if times else 0
            return Entry(SERVERS[server], 0, len(times), (0, 0, 0, 0, late), speed, 0, 0)

        made = Picture()
        for beat in range(1, 9):
            for number in range(6):
                entries = [sees(number, server, beat) for server in range(10)]
                made.heard(number, Report(beat, 50, 1000, 10, entries), 500.0 * beat + number)
            named += len(made.judge(500.0 * beat + 10.0))
    return named


def test_nobody_is_named_by_chance(monkeypatch: pytest.MonkeyPatch) -> None:
    assert named_by_chance(300) == 0
    monkeypatch.setattr(judgement, "SURE", 0.0)
    assert named_by_chance(300) > 0


def test_a_server_that_still_answers_somebody_does_not_stand_still() -> None:
    """Two calls are very late there, of two forwarders: heavy work, or a queue."""

    def sees(number: int, server: int, beat: int) -> Entry:
        return (frozen if server == 3 and number < 2 else well)(number, server, beat)

    assert states(picture(sees)) == {}


def test_nobody_stands_still_where_answers_are_seldom() -> None:
    """The median server gives two in a beat: in 1.5 s this one missed five, in one second it had not."""

    def seldom(number: int, server: int, beat: int) -> Entry:
        if server == 3:
            return frozen(number, server, beat)
        return Entry(SERVERS[server], 0, int(number < 2), (0, 0, 0, 0, 0), -16, 1, 0)

    assert states(picture(seldom, beats=2), 1010.0) == {}
    assert states(picture(seldom, beats=8), 4010.0) == {3: State.FROZEN}


@pytest.mark.parametrize("nonsense", [0, 10**6])
def test_reach_follows_traffic_and_nonsense_moves_it_by_half_at_most(nonsense: int) -> None:
    made = Picture()
    for beat in range(1, 40):
        for number in range(11):
            sends = nonsense if number == 10 else 40 if number == 0 else 5
            made.heard(number, Report(beat, sends, 0, 10, []), 500.0 * beat)
    made.count_traffic()
    first, *others = [made.reach(number) for number in range(10)]
    assert others == [1.0] * 9
    assert first == pytest.approx(40 * 11 / (170 if nonsense else 85), rel=0.01)
    assert made.reach(77) is None


def test_nothing_is_said_of_a_reach_before_some_calls_are_counted() -> None:
    made = Picture()
    for beat in range(1, 4):
        made.heard(0, Report(beat, 9, 0, 10, []), 500.0 * beat)
        made.heard(1, Report(beat, 1, 0, 10, []), 500.0 * beat)
    made.count_traffic()
    assert made.reach(0) is None and made.reach(1) is None
