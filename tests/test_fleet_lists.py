"""Forty siblings and one discovery that serves calls in turn and turns them down while its queue is full."""

from __future__ import annotations

from helpers import Bench, entries, settings

from pipitshed.decisions.interface import ListKind, ListNews, Rules, WatchList

SERVE_MS = 110.0  # one call at a time
QUEUE = 4  # calls that may wait; more are turned down at once


def play(siblings: int, seconds: float, down: float = 0.0) -> tuple[int, int, float]:
    """(calls made while discovery was down, siblings with a watch, longest gap between two calls of one
    sibling in ms) after `seconds`, all starting together from their cached list; for the first `down`
    seconds, discovery turns every call down."""
    config = settings(list_on_request=True, siblings=siblings,
                      rules=Rules(answer_slack=20.0, drain_grace=100.0, ask_within=10_000.0))
    benches = [Bench(config, entries(3), seed=number) for number in range(siblings)]
    queue: list[int] = []
    watching: set[int] = set()
    calls, free_at, start = 0, 0.0, benches[0].now
    now, last, gap = start, [start] * siblings, 0.0
    while now < start + seconds * 1000:
        now += config.tick
        for number, bench in enumerate(benches):
            for action in bench.run(now):
                if isinstance(action, WatchList) and action.on:
                    gap, last[number] = max(gap, now - last[number]), now
                    if now < start + down * 1000:
                        calls += 1
                        bench.feed(ListNews(ListKind.FAILED))
                    elif len(queue) < QUEUE:
                        queue.append(number)
                    else:
                        bench.feed(ListNews(ListKind.FAILED))
        if queue and now >= free_at:
            number = queue.pop(0)
            free_at = now + SERVE_MS
            watching.add(number)
            benches[number].feed(ListNews(ListKind.FULL, 2, entries(3)))
    return calls, len(watching), gap


def test_siblings_turned_away_by_an_overbooked_discovery_ask_ever_more_rarely_and_all_get_a_watch() -> None:
    """Guards against siblings that asked again within two seconds after each failed call, however many had
    failed: forty of them kept an overbooked discovery full, and most never heard a change all day."""
    calls, watching, gap = play(40, 30.0, down=15.0)
    assert calls < 40 * 8  # asking again within two seconds each time, they made over 40 * 15
    assert watching == 40
    assert gap < 4 * 10_000.0  # a failed call leaves so long before news counts as told unasked
