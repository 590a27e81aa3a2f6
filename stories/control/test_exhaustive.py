"""Every course of a small core to a depth, and the checker checked by defects planted in it."""

from ward import test

from lab.defects import COURSES, DEFECTS, play, shows
from lab.exhaustive import Limits, explore, walk


@test("no course of three members to a depth of two, and of five to one, breaks what must hold")
def _() -> None:
    assert explore(3, 2) > 500 and explore(5, 1) > 200


@test("no long course at random breaks what must hold")
def _() -> None:
    assert sum(walk(3, seed, 24, Limits(3, 4, 1)) for seed in range(150)) > 3000
    assert sum(walk(5, seed, 24, Limits(3, 4, 1)) for seed in range(40)) > 800


@test("each planted defect is found")
def _() -> None:
    assert len(DEFECTS) == 6 and all(shows(name) for name in DEFECTS)


@test("the sound core goes the same courses unharmed")
def _() -> None:
    for course in COURSES.values():
        play(course)
