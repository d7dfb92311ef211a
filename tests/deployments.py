"""Hypothesis strategy for valid deployments: random settings of a scheduler, in the platform's format."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

FIELDS = ("concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "x0", "x1")
REPEAT_POLICIES = ("retryable", "dedup", "fragile")


def _names(prefix: str, min_count: int, max_count: int) -> st.SearchStrategy[list[str]]:
    """Random names with a prefix, some with non-ASCII characters."""
    word = st.text("abcxyz-_09é", min_size=1, max_size=12)
    return st.lists(word, min_size=min_count, max_size=max_count, unique=True).map(
        lambda words: [f"{prefix}-{suffix}" for suffix in words]
    )


def _numbers(minimum: float, maximum: float) -> st.SearchStrategy[float]:
    return st.floats(minimum, maximum, allow_nan=False).map(lambda value: round(value, 3))


@st.composite
def deployments(draw: st.DrawFn, longest: float = 20_000.0) -> dict[str, Any]:
    """The settings of a valid deployment; no deadline is longer than `longest` ms."""
    zones, shapes = draw(_names("zone", 1, 5)), draw(_names("shape", 1, 4))
    classes = []
    for name in draw(_names("class", 1, 6)):
        deadline = draw(_numbers(400.0, longest))
        settings_of_class: dict[str, Any] = {
            "name": name,
            "deadline": deadline,
            "goalTime": round(deadline * draw(_numbers(0.02, 0.9)), 1),
            "gain": draw(_numbers(0.0, 20.0)),
            "lateWorth": draw(_numbers(0.0, 1.0)),
            "repeat": draw(st.sampled_from(REPEAT_POLICIES)),
            "keyScope": draw(st.sampled_from(("all", "zone", "cell"))),
            "window": draw(_numbers(50.0, 30_000.0)),
            "stream": False,
        }
        if draw(st.booleans()):
            settings_of_class["aimStretch"] = draw(_numbers(0.0, 4.0))
        classes.append(settings_of_class)
    workers_report_start = draw(st.booleans())
    return {
        "areas": zones,
        "locality": draw(st.integers(0, len(zones) - 1)),
        "shapes": shapes,
        "services": classes,
        "tenants": [
            {"name": name, "share": draw(_numbers(0.05, 1.0)), "allowancePerS": draw(_numbers(0.0, 90.0))}
            for name in draw(_names("tenant", 0, 4))
        ],
        "stats": {
            "source": draw(st.sampled_from(("inline", "on_probe", "off"))),
            "fields": draw(st.lists(st.sampled_from(FIELDS), max_size=4, unique=True)),
        },
        "familyInfo": {
            "tellsStart": workers_report_start,
            "progress": draw(st.sampled_from((0.0, 500.0, 2000.0))),
            "classStretch": [draw(_numbers(0.0, 3.0)) for _ in classes],
            "classPriority": [draw(st.integers(0, 3)) for _ in classes],
        },
        "permissions": {
            "cancel": draw(st.booleans()),
            "probes": draw(st.booleans()),
            "parallelTries": draw(st.booleans()),
            "retryAfter": draw(st.booleans()),
            "maxAttempts": draw(st.integers(1, 6)),
            "maxRetryAfter": draw(_numbers(0.0, 5000.0)),
            "connectTimeout": draw(_numbers(100.0, 1000.0)),
            "idleClose": draw(_numbers(2000.0, 60_000.0)),
            "cpuUsPerS": draw(st.sampled_from((8000, 100_000))),
        },
        "rules": {
            "answerSlack": draw(_numbers(5.0, 50.0)),
            "askWithin": 10_000.0,
            "drainGrace": draw(_numbers(100.0, 5000.0)),
            "cold": draw(_numbers(0.0, 23_000.0)),
            "coldFrom": draw(_numbers(0.1, 1.0)),
            "tipMultiple": draw(_numbers(1.5, 4.0)),
            "overloadFor": draw(_numbers(500.0, 3000.0)),
        },
        "charges": {
            name: draw(_numbers(0.0, 0.3))
            for name in ("crossZone", "handshake", "waste", "probe", "lateFail")
        },
        "siblings": draw(st.integers(1, 40)),
        "tick": draw(st.sampled_from((1.0, 2.0, 5.0))),
        "discovery": draw(st.sampled_from(("pushed", "on_request"))),
        "weights": draw(st.sampled_from(("off", "nominal", "rough", "live"))),
        "worthBy": draw(st.sampled_from(("request", "work"))),
        "overShareWorth": draw(_numbers(0.0, 1.0)),
        "somethingNew": {"of": ["later"]},
    }
