"""How far the starts of each team lie above or below its quota. Each scheduler allows an equal part of a
quota, and enforces it only where planners are short of capacity.

Each scheduler is one of the program's own `Dispatcher`s. Arrivals are modelled (Poisson), and so are the
planners: all together start as many jobs a second as the sum of the quotas, and reject the others. Every
other team asks for three times its quota, the others for exactly their quota.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from benchmarks.capacity.records import Row
from benchmarks.capacity.schedulers import run_sizes
from pipitshed.config.settings_parser import settings_from
from pipitshed.scheduling import actions, events
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.testbed.program import settings

SLOPE = "teams"
SIZES = (10, 50, 100, 380)
SCHEDULERS = (40, 150, 300)
STARTS = 280.0  # a second, whole fleet: the peak load and the sum of the quotas
GREEDY_FACTOR = 3.0  # demand of every other team in multiples of its quota
WARM_UP_S, MEASURED_S = 30.0, 120.0
PLANNERS = 40
REJECTION_MS, COMPLETION_MS = 5.0, 50.0  # until a planner has rejected or completed a job
BURST_TOKENS = 14.0  # starts that planners accept at once: those of 50 ms
CLIENT_RATE = 1.0  # most jobs a second of one client, which stays with one scheduler
PERCENTILES = ((0.5, "p50"), (0.99, "p99"), (1.0, "worst"))


@dataclass
class Team:
    """The quota and the demand of a team, and its counts of submitted and started jobs."""

    quota: float  # a second
    demand: float  # a second
    home_schedulers: list[int]  # of its clients; empty: each job goes to a random scheduler
    submitted: int = 0
    started: int = 0


@dataclass
class Site:
    """All schedulers, the planners' capacity as a token bucket, and the queue of events."""

    dispatchers: list[Dispatcher]
    teams: list[Team]
    start_rate: float  # of all planners, a second
    rng: random.Random
    # (time in ms, order, scheduler, event)
    queue: list[tuple[float, int, int, events.Event]] = field(default_factory=list)
    order: Iterator[int] = field(default_factory=count)
    jobs: dict[int, tuple[int, int]] = field(default_factory=dict)  # team and attempts so far by job id
    tokens: float = BURST_TOKENS
    tokens_at_ms: float = 0.0  # when the tokens were last refilled

    def take_token(self, now: float) -> bool:
        """Take a token for a start; False if no planner has capacity now."""
        self.tokens = min(BURST_TOKENS, self.tokens + (now - self.tokens_at_ms) / 1000 * self.start_rate)
        self.tokens_at_ms = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def simulate(self, seconds: float) -> None:
        """Run for this many seconds, and count the jobs that arrive and complete after the warm-up."""
        end = seconds * 1000
        for number, team in enumerate(self.teams):
            self._arrive(number, team, 0.0)
        while self.queue and self.queue[0][0] <= end:
            now, _, index, event = heappop(self.queue)
            if isinstance(event, events.JobSubmitted):
                team = self.teams[event.tenant]
                team.submitted += now >= WARM_UP_S * 1000
                self.jobs[event.job_id] = event.tenant, 0
                self._arrive(event.tenant, team, now)
            elif isinstance(event, events.AttemptFinished) and event.answered:
                team = self.teams[self.jobs.pop(event.job_id)[0]]
                team.started += now >= WARM_UP_S * 1000
            for action in self.dispatchers[index].handle(now, [event]):
                self._carry_out(now, index, action)

    def _arrive(self, number: int, team: Team, now: float) -> None:
        when = now + self.rng.expovariate(team.demand) * 1000
        index = (
            self.rng.choice(team.home_schedulers)
            if team.home_schedulers
            else self.rng.randrange(len(self.dispatchers))
        )
        self._schedule(when, index, events.JobSubmitted(next(self.order), 5000.0, 0, number))

    def _carry_out(self, now: float, index: int, action: actions.Action) -> None:
        if isinstance(action, actions.SetTimer):
            self._schedule(now + action.delay_ms, index, events.TimerFired(action.token))
        elif isinstance(action, actions.StartAttempt):
            team, attempt = self.jobs[action.job_id]
            self.jobs[action.job_id] = team, attempt + 1
            full = not self.take_token(now)
            duration_ms = REJECTION_MS if full else COMPLETION_MS
            outcome = events.Outcome.REJECTED if full else events.Outcome.OK
            self._schedule(
                now + duration_ms,
                index,
                events.AttemptFinished(action.job_id, attempt, action.worker, outcome, duration_ms, not full),
            )

    def _schedule(self, when: float, index: int, event: events.Event) -> None:
        heappush(self.queue, (when, next(self.order), index, event))


def site(teams: int, schedulers: int, uneven: bool, start_rate: float, seed: int) -> Site:
    """A site with quotas that sum to `STARTS`: equal ones, or a Zipf distribution with clients that stay with
    one scheduler."""
    rng = random.Random(seed)
    weights = [1.0 / (rank + 1) if uneven else 1.0 for rank in range(teams)]
    team_list = []
    for index, weight in enumerate(weights):
        quota = STARTS * weight / sum(weights)
        demand = quota * (GREEDY_FACTOR if index % 2 else 1.0)
        clients = math.ceil(demand / CLIENT_RATE) if uneven else 0
        team_list.append(Team(quota, demand, [rng.randrange(schedulers) for _ in range(clients)]))
    config = settings() | {
        "siblings": schedulers,
        "tenants": [
            {"name": f"t{index}", "share": team.quota / STARTS, "allowancePerS": team.quota}
            for index, team in enumerate(team_list)
        ],
    }
    listed = events.EndpointsUpdated(
        events.UpdateKind.SNAPSHOT,
        1,
        tuple(events.EndpointEntry(b"p%d" % index, zone=index % 3) for index in range(PLANNERS)),
    )
    dispatchers = [Dispatcher(settings_from(config), seed * 1000 + index) for index in range(schedulers)]
    for dispatcher in dispatchers:
        dispatcher.handle(0.0, [listed])
    return Site(dispatchers, team_list, start_rate, rng)


def figures(simulated: Site) -> dict[str, float]:
    """Percentiles of the deviation from the quota, as shares of it: `over` for teams that ask for more than
    their quota, `under` for the others, against their demand within the quota."""
    over = [
        max(0.0, team.started / (team.quota * MEASURED_S) - 1.0)
        for team in simulated.teams
        if team.demand > team.quota
    ]
    under = [
        max(0.0, (min(team.submitted, team.quota * MEASURED_S) - team.started) / (team.quota * MEASURED_S))
        for team in simulated.teams
        if team.demand <= team.quota
    ]
    result = {
        f"{name}_{label}_share": sorted(values)[math.ceil(len(values) * part) - 1]
        for name, values in (("over", over), ("under", under))
        for part, label in PERCENTILES
    }
    started = sum(team.started for team in simulated.teams)
    return result | {
        "asked_per_s": sum(team.submitted for team in simulated.teams) / MEASURED_S,
        "started_per_s": started / MEASURED_S,
    }


def cases(teams: int, limit_s: float) -> list[Row]:
    """The rows of all cases of one number of teams."""
    rows, until = [], time.monotonic() + limit_s
    parameters = [(schedulers, uneven, STARTS) for schedulers in SCHEDULERS for uneven in (False, True)]
    for schedulers, uneven, start_rate in [*parameters, (SCHEDULERS[-1], True, 10 * STARTS)]:
        case = f"{schedulers} schedulers, {'uneven' if uneven else 'even'}" + (
            ", room for all" if start_rate > STARTS else ""
        )
        if time.monotonic() > until:
            rows.append(Row(SLOPE, teams, case, {}, False, f"over the {limit_s:.0f} s it had", virtual=True))
            continue
        simulated = site(teams, schedulers, uneven, start_rate, seed=1)
        simulated.simulate(WARM_UP_S + MEASURED_S)
        rows.append(Row(SLOPE, teams, case, figures(simulated), virtual=True))
    return rows


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these numbers of teams."""
    return run_sizes(cases, sizes, limit_s)
