"""Invalid settings are rejected with an error that names the setting."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cometdoor.balancing import Balancer, api
from tests.balancing.harness import SAFE, SETTINGS


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("classes", ()),
        ("max_attempts", 0),
        ("position", 1),
        ("position", -1),
        ("tier", 1),
        ("slow_start_initial_share", 0.0),
        ("slow_start_initial_share", 1.5),
        ("max_refresh_ms", 0.0),
        ("overload_factor", 0.0),
        ("overload_tolerance_ms", -1.0),
        ("warm_up_ms", -1.0),
        ("warm_up_ms", float("nan")),
        ("over_share_value", -0.1),
        ("cross_zone_price", -1.0),
        ("total_value_weight", -0.1),
        ("worst_class_weight", -0.1),
    ],
)
def test_an_invalid_setting_is_rejected_by_name(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("latency_target_ms", 0.0),
        ("deadline_ms", -1.0),
        ("key_ttl_ms", -1.0),
        ("value", -1.0),
        ("late_value", -0.5),
    ],
)
def test_an_invalid_class_is_rejected_by_name(field: str, value: float) -> None:
    with pytest.raises(ValueError, match=field):
        replace(SAFE, **{field: value})  # type: ignore[arg-type]


@pytest.mark.parametrize("field", ["floor", "per_request", "window_ms"])
def test_an_invalid_retry_budget_is_rejected_by_name(field: str) -> None:
    with pytest.raises(ValueError, match=field):
        api.RetryBudget(**{"floor": 1.0, field: -0.5})  # type: ignore[arg-type]


@pytest.mark.parametrize("class_index", [-1, 4])
def test_a_request_of_an_unknown_class_is_rejected_by_name(class_index: int) -> None:
    with pytest.raises(ValueError, match="class_index"):
        Balancer(SETTINGS, 1).handle(api.RequestArrived("r", class_index, 100.0), 0.0)
