"""A small stand-in for clients, workers and clock, and a checker of the rules a dispatcher must keep."""

from __future__ import annotations

from dataclasses import dataclass, field

from pipitshed.scheduling.actions import Action, Fail, Refuse, Send, SetTimer
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import (
    Entry,
    Event,
    Finished,
    ListKind,
    ListNews,
    Outcome,
    State,
    Submitted,
    TimerFired,
    WorkerId,
)
from pipitshed.scheduling.settings import Effect, Group, JobClass, Limits, Rules, Settings

UNRUN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


def worker_id(number: int) -> WorkerId:
    return bytes([10, 0, 0, number, 0, 1])


def entries(count: int, **changes: object) -> tuple[Entry, ...]:
    """Workers over two zones, in cells of three."""
    return tuple(
        Entry(worker_id(n), zone=n % 2, cell=n // 3, **changes)  # type: ignore[arg-type]
        for n in range(1, count + 1)
    )


def settings(effect: Effect = Effect.SAFE, group: Group = Group.ALL, **changes: object) -> Settings:
    cls = JobClass(aim=300.0, deadline=5000.0, effect=effect, group=group, window=3000.0)
    base: dict[str, object] = {
        "classes": (cls,),
        "limits": Limits(cancel=True, parallel=True, max_attempts=4),
        "rules": Rules(answer_slack=20.0, drain_grace=100.0),
        "tick": 5.0,
        "zones": 2,
    }
    return Settings(**(base | changes))  # type: ignore[arg-type]


@dataclass
class Held:
    """A job as the checker sees it."""

    deadline: float
    cls: JobClass
    sends: list[tuple[float, WorkerId]] = field(default_factory=list)
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    answered: bool = False


class Checker:
    """Watches one dispatcher's events and actions; `faults` names each broken rule."""

    def __init__(self, config: Settings) -> None:
        self.config = config
        self.jobs: dict[int, Held] = {}
        self.listed: dict[WorkerId, Entry] = {}
        self.stop_at: dict[WorkerId, float] = {}
        self.faults: list[str] = []

    def event(self, now: float, event: Event) -> None:
        if isinstance(event, Submitted):
            self.jobs[event.job] = Held(now + event.time_left, self.config.classes[event.job_class])
        elif isinstance(event, Finished):
            held = self.jobs[event.job]
            held.outcomes[event.attempt] = event.outcome
            held.answered = held.answered or event.settled
        elif isinstance(event, ListNews) and event.kind is not ListKind.FAILED:
            told = {entry.worker: entry for entry in event.entries}
            for worker in set(self.listed) - set(told) if event.kind is not ListKind.DELTA else ():
                self.stop_at.setdefault(worker, now)
            for worker, entry in told.items():
                self.listed[worker] = entry
                if entry.state is State.READY:
                    self.stop_at.pop(worker, None)
                else:
                    self.stop_at.setdefault(worker, now)

    def action(self, now: float, action: Action) -> None:
        if isinstance(action, Send):
            self._send(now, self.jobs[action.job], action.worker)
        elif isinstance(action, Refuse):
            held = self.jobs[action.job]
            self._answer(now, held)
            ran = self._may_have_run(held)
            if ran and (
                held.cls.effect is Effect.UNSAFE
                or (held.cls.effect is Effect.KEYED and held.cls.group is not Group.ALL)
            ):
                self.faults.append("refused though it may have run")
        elif isinstance(action, Fail):
            self._answer(now, self.jobs[action.job])

    def _may_have_run(self, held: Held) -> list[tuple[float, WorkerId]]:
        return [sent for place, sent in enumerate(held.sends) if held.outcomes.get(place) not in UNRUN]

    def _answer(self, now: float, held: Held) -> None:
        if held.answered:
            self.faults.append("answered twice")
        held.answered = True
        if now > held.deadline + self.config.rules.answer_slack:
            self.faults.append("answered late")

    def _send(self, now: float, held: Held, worker: WorkerId) -> None:
        if held.answered:
            self.faults.append("sent after the end")
        if worker not in self.listed:
            self.faults.append("sent to a worker never listed")
        elif now > self.stop_at.get(worker, now) + self.config.rules.drain_grace:
            self.faults.append("sent to a drained worker")
        if not self.config.limits.parallel and len(held.outcomes) < len(held.sends):
            self.faults.append("two attempts at once")
        for sent_at, first in self._may_have_run(held):
            if held.cls.effect is Effect.UNSAFE:
                self.faults.append("unsafe job repeated")
            elif held.cls.effect is Effect.KEYED:
                old, new = self.listed[first], self.listed[worker]
                inside = {Group.ALL: True, Group.ZONE: old.zone == new.zone, Group.CELL: old.cell == new.cell}
                if not inside[held.cls.group] or now > sent_at + held.cls.window:
                    self.faults.append("keyed job repeated outside its group or window")
        held.sends.append((now, worker))

    def close(self, now: float) -> None:
        for held in self.jobs.values():
            if not held.answered and now > held.deadline + self.config.rules.answer_slack:
                self.faults.append("never answered")


class Bench:
    """Drives one dispatcher by hand: a clock, its timers, and the checker."""

    def __init__(self, config: Settings, workers: tuple[Entry, ...] = (), seed: int = 1) -> None:
        self.config = config
        self.dispatcher = Dispatcher(config, seed)
        self.checker = Checker(config)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.sends: list[tuple[float, Send]] = []
        self.log: list[Action] = []
        if workers:
            self.feed(ListNews(ListKind.CACHED, 1, workers))

    def feed(self, *events: Event) -> list[Action]:
        for event in events:
            self.checker.event(self.now, event)
        actions = self.dispatcher.handle(self.now, events)
        for action in actions:
            self.checker.action(self.now, action)
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, Send):
                self.sends.append((self.now, action))
        self.log += actions
        return actions

    def run(self, until: float) -> list[Action]:
        """Fire the timers that come due, tick by tick."""
        done: list[Action] = []
        while self.now < until:
            self.now += self.config.tick
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            if due:
                done += self.feed(*(TimerFired(token) for _, token in sorted(due)))
        return done

    def finish(self, send: Send, attempt: int, outcome: Outcome, **changes: object) -> list[Action]:
        settled = bool(changes.pop("settled", outcome is Outcome.OK))
        return self.feed(Finished(send.job, attempt, send.worker, outcome, 1.0, settled, **changes))  # type: ignore[arg-type]


def sends_of(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]
