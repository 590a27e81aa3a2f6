"""The revisions that an operator's change may have, and the base version that it names. No I/O."""

from __future__ import annotations

import re

from cometdoor.host.settings_validation import SettingsError, SettingsProblem
from cometdoor.wire.revisions import Revision

# Revisions up to this one are free to choose: times of day in any unit and random numbers of 128 bits fit.
MAX_FREE_REVISION = (1 << 128) - 1
# Above it, a change may raise the revision by this much at most, so that further changes can always follow.
MAX_STEP = 1 << 32
MAX_BASE_VERSION_DIGITS = 100  # larger numbers than any revision that can be in force
UNKNOWN_REVISION = Revision(-1)  # never in force: revisions start at 1, and 0 stands for none
BASE_VERSION_PATTERN = re.compile(rb"-?[0-9]+")


class BaseVersionError(ValueError):
    """The header field `Cometdoor-Base-Version` is not an integer."""


def read_base_version(value: bytes) -> Revision:
    """Return the revision that a change builds on, 0 without a value.

    A number that no revision can have stands for a revision that is not in force.

    Raises
    ------
    BaseVersionError
        If it is not an integer.
    """
    if value and not BASE_VERSION_PATTERN.fullmatch(value):
        raise BaseVersionError("Cometdoor-Base-Version is not an integer")
    digits = value.lstrip(b"0") or b"0"
    if digits.startswith(b"-") or len(digits) > MAX_BASE_VERSION_DIGITS:
        return UNKNOWN_REVISION
    return Revision(int(digits))


def check_revision(revision: int, base_revision: int) -> Revision:
    """Check that further changes can follow a change from `base_revision` to `revision`.

    Raises
    ------
    SettingsError
        If the revision is too high.
    """
    limit = max(MAX_FREE_REVISION, base_revision + MAX_STEP)
    if revision > limit:
        text = f"above 2^128 - 1, it is at most {MAX_STEP} above its base version, and so {limit} here"
        raise SettingsError([SettingsProblem("configuration", "revision", text)])
    return Revision(revision)
