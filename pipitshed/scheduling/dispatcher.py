"""The decisions of a dispatcher. Its settings, events and actions are in the modules of these names.

The ordinary path: a worker is drawn at random in proportion to capacity (Equation 1 of the paper), the
share f of recent draws that found no room sets how many attempts a job gets (Equation 2), attempts are
spaced by random growing pauses, and new jobs are refused while f stands near 1.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from itertools import takewhile

from pipitshed.scheduling.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    ConnectionLost,
    DiscoveryMoved,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    Event,
    JobSubmitted,
    JobWithdrawn,
    Outcome,
    ProgressKind,
    ResponseStarted,
    TimerFired,
    UpdateKind,
    WorkerId,
)
from pipitshed.scheduling.recent_counts import Fading, Window
from pipitshed.scheduling.settings import DeduplicationScope, Idempotency, JobClass, Settings, WeightKind
from pipitshed.scheduling.weighted_pools import Pools

WINDOW = 30  # attempts in the estimate of f; the paper's figure
WINDOW_AGE = 30_000.0  # ms an attempt counts in f: a sparse dispatcher's window fills, an old wave leaves
REFUSE_ABOVE = 0.9  # f above which new jobs are refused at once
CHEAP = 0.75  # of the mean worth for work, under which a job is refused before others
CHEAP_FROM = 0.7  # f from which some of those are refused
TURNED_AWAY = 0.35  # what workers turned away counts so much more: no place in a queue was kept meanwhile
NEAR_DRAWS = 2.0  # draws for one pick from the own zone alone
NEAR_DEAR = 50.0  # more of these for each unit of price of a crossing
NEAR_LONGER = 9.0  # f up to which it is so, for each unit of that price
UNEVEN = 1.25  # a tenant's part of the own traffic over its share that is still chance
SHARE_MS = 2000.0  # ms over which a tenant's own recent traffic fades
BUSY = 0.5  # f above which a job that can no longer be in time gets no further attempt
TRIED_ANYWAY = 0.05  # part of the jobs above it that are tried all the same, so that f can recover
UNSURE = 0.1  # 1 - assurance of the class worth least; the others' shrinks with their worth
DRAWS = 16  # draws for one pick before a worker that was passed over is taken after all
PAUSE_PART = 0.02  # first mean pause between attempts, as a part of the aim; it doubles with each failure
LONGEST_PAUSE = 0.25  # longest mean pause, as a part of the class's aim
START_PART = 0.1  # part of the class's aim within which a sent job should have started
START_DEAR = 3.0  # what is added to it for each unit of price of a connection: a cancel closes one
TURNED_PART = 6.0  # what is added to it for the part of attempts that workers turned away
STALLED = 1.75  # times the progress interval without a note, from which a started job has stalled; some skip
SLOW = 2.0  # times the mean pace from which a worker counts as slow
PACE_AGE = 10_000.0  # ms after which what was seen of a worker's pace is void
MEAN_SMOOTHING = 0.05  # weight of a new sample in the mean pace and run times
LEAST_DONE = 0.05  # least share done that says something of the pace
SLOTS = 4.0  # of a worker, as a guess, of which own started jobs take some
LEFT_POWER = 24.0  # power of the part of its slots that own jobs leave, by which an untold draw stands
CROWDED = 0.5  # part of a worker's slots, held before it, from which an untold draw found no room
EJECTION_MS = 300.0  # a worker that had no room is passed over this long; doubles with each repeat
EJECTION_DOUBLINGS = 5  # at most, so that a suspect worker is tried again by real jobs within seconds
GOLDEN = 0.6180339887  # spreads by the job's number, evenly, what needs no draw from the generator
DEAR_HANDSHAKE = 0.05  # price from which workers without an idle connection are passed over
ASK_PART = 0.05  # first wait before the list is asked for, as a part of the time within which it must be
LONGEST_ASK = 2000.0  # ms that it grows to: news counts as told 6 s after discovery could be reached again
PUSHED_PART = 0.25  # the same as a part of the grace for drains, where what an agent has counts at once
LEAST_ASK = 20.0  # ms from a failed call to the next at least
MOVED_SPREAD = 0.01  # part of the time within which the list must be asked for, to ask it where it moved
LIVE_SMOOTHING = 0.1  # weight of a new live list weight: live weights fold in load and lag
FORGET_MS = 60_000.0  # after which what has left the list is forgotten; nothing is held against it so long
UNRUN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED))  # these prove it never ran

Scope = tuple[str, int] | None  # workers a job may go to: a zone, a cell, or all


class Worker:
    """What this dispatcher knows of one worker."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "kind",
        "weight",
        "started_at",
        "ready",
        "unstarted",
        "ejected_until",
        "strikes",
        "failing",
        "idle",
        "idle_at",
        "pace",
        "pace_at",
        "held",
        "out",
        "classes",
        "interface",
        "planned",
    )

    def __init__(self, entry: EndpointEntry) -> None:
        self.id = entry.worker
        self.zone, self.cell, self.kind = entry.zone, entry.cell, entry.worker_kind
        self.weight, self.classes, self.interface = entry.weight, entry.job_classes, entry.interface
        self.planned = entry.planned_weights
        self.started_at = 0.0
        self.ready = False
        self.unstarted = 0  # own jobs sent there that have not started
        self.out = 0  # own attempts there
        self.held = 0.0  # slots that own jobs hold: those that started, all where no starts are told
        self.ejected_until = 0.0  # passed over until then
        self.strikes = self.failing = 0  # no room found in a row; errors, halved by each served job
        self.pace, self.pace_at = 0.0, -math.inf  # time a unit of work takes it, and when that was seen
        self.idle, self.idle_at = 0, -math.inf  # own open connections not in use, and since when

    def told(self) -> tuple[object, ...]:
        """What the list tells that draws go by."""
        return self.ready, self.weight, self.classes, self.interface, self.planned


class Attempt:
    """One send of a job."""

    __slots__ = (
        "worker",
        "sent_at",
        "out",
        "started",
        "news_at",
        "heard_at",
        "counted",
        "cancelled",
        "unrun",
    )

    def __init__(self, worker: Worker, now: float) -> None:
        self.worker = worker
        self.sent_at = self.news_at = self.heard_at = now
        self.out = True
        self.started = self.counted = self.cancelled = self.unrun = False


class Job:
    """One client's job until its final answer and its last outcome."""

    __slots__ = (
        "id",
        "cls",
        "number",
        "deadline",
        "came",
        "attempts",
        "over",
        "stream",
        "served",
        "resume",
        "failures",
        "slots",
        "unsure",
        "work",
        "wake",
        "promised",
        "broken",
        "failed",
        "fits",
    )

    def __init__(self, event: JobSubmitted, cls: JobClass, now: float) -> None:
        self.id, self.cls, self.number, self.came = event.job_id, cls, event.job_class, now
        self.deadline = now + event.remaining_ms
        self.attempts: list[Attempt] = []
        self.over = self.stream = self.served = False
        self.resume = now
        self.failures = 0
        self.promised = 0  # attempts that it gets whatever becomes of f: one was called off for the next
        self.broken = self.failed = 0  # attempts whose connection broke, and that ended in an error
        self.fits = event.compatible_interfaces  # the interfaces that can express it; None for all
        self.slots, self.work, self.unsure, self.wake = event.slots, event.work, UNSURE, math.inf

    def outs(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.out]

    def first(self) -> Attempt | None:
        """The first attempt that may have run."""
        for attempt in self.attempts:
            if not attempt.unrun:
                return attempt
        return None


class Dispatcher:
    """One dispatcher: events in, actions out; no clock and no I/O of its own."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.workers: dict[WorkerId, Worker] = {}
        self.gone: dict[WorkerId, float] = {}  # no longer listed, and since when
        self.pools = Pools(self._weights, 3)
        self.planned: set[WorkerId] = set()  # ready ones of a plan; where there are any, draws go by it
        self.jobs: dict[int, Job] = {}
        self.waiting: dict[int, Job] = {}  # jobs with no attempt out
        self.timers: dict[int, int | None] = {}  # the jobs they are for; None for the list
        self.tokens = 0
        self.window = Window(WINDOW, WINDOW_AGE)
        self.pace = 0.0  # mean time a unit of work takes
        self.slots: dict[int, float] = {}  # most slots seen in use on a worker of each kind
        self.means = [0.0] * len(settings.classes)  # ms that a job of each class held a slot
        self.mean = 0.0  # the same over all jobs, times their slots
        self.mine = self.all = 0.0  # mean slots that own jobs, and all, held where reports came from
        self.served = 1.0  # part of the recent jobs that were not refused at once and got served
        self.value = self.worth = 0.0  # mean worth for work, and mean worth, of the jobs served
        self.heard: list[Fading] = []  # own recent jobs of each tenant
        self.heard_all = Fading(SHARE_MS)  # and of all that have an allowance
        self.list_failures, self.list_due, self.list_asked = 0, math.inf, -math.inf
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """Settings anew. Classes are only ever added, so a job under way keeps its own; what is known of
        workers and of f stays.
        """
        if settings.weight_kind is not self.settings.weight_kind:
            self.pools.clear()
        self.settings = settings
        self.means += [0.0] * (len(settings.classes) - len(self.means))
        self.heard = [*self.heard, *(Fading(SHARE_MS) for _ in settings.tenants)][: len(settings.tenants)]
        self.shares = sum(tenant.quota_share for tenant in settings.tenants) or 1.0
        self.least_worth = min(cls.priority_weight for cls in settings.classes) or 1.0
        self.fields = {name: place for place, name in enumerate(settings.report_fields)}

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take what has come in at `now`; the actions happen at the same time."""
        self.now = now
        self.actions = []
        for event in events:
            if isinstance(event, AttemptFinished):
                self._finished(event)
            elif isinstance(event, JobSubmitted):
                self._submitted(event)
            elif isinstance(event, TimerFired):
                self._timer(event.token)
            elif isinstance(event, AttemptProgressed):
                self._note(event)
            elif isinstance(event, EndpointsUpdated):
                self._list_news(event)
            elif isinstance(event, ConnectionLost):
                self._link_lost(event.worker)
            elif isinstance(event, DiscoveryMoved):
                self._list_moved()
            elif isinstance(event, JobWithdrawn):
                self._withdrawn(event.job_id)
            elif isinstance(event, ResponseStarted):
                self._first_byte(event)
        return self.actions

    # ---- the worker list

    def _list_news(self, news: EndpointsUpdated) -> None:
        if news.kind is UpdateKind.FETCH_FAILED:
            self.list_failures += 1
        else:
            listed = set()
            for entry in news.entries:
                self._entry(entry)
                listed.add(entry.worker)
            if news.kind is not UpdateKind.DELTA:
                for worker in self.workers.values():
                    if worker.id not in listed:
                        self.gone.setdefault(worker.id, self.now)
                        if worker.ready:
                            worker.ready = False
                            self._changed(worker)
            self._forget()
        if self.settings.endpoints_polled and news.kind in (UpdateKind.FETCH_FAILED, UpdateKind.CACHED):
            self._ask_list_in(self._list_wait(news.kind))
        elif news.kind is not UpdateKind.FETCH_FAILED:
            self.list_failures = 0

    def _list_wait(self, kind: UpdateKind) -> float:
        """Discovery serves all siblings in turn, and turns calls down while its short queue is full: failed
        calls back off so that it drains, counted from the call, as one that took long has waited already.
        Where it is back, two more calls have time before what it has to tell counts as told (6 s).
        """
        settings, again = self.settings, max(0, self.list_failures - 1)
        if settings.endpoints_pushed:
            longest = max(2 * LEAST_ASK, PUSHED_PART * settings.guarantees.drain_grace_ms)
            return 0.0 if kind is UpdateKind.CACHED else longest * self.rng.uniform(0.5, 1.0)
        longest = min(LONGEST_ASK, settings.guarantees.poll_deadline_ms * ASK_PART * 2.0 ** min(again, 4))
        if not again:
            return longest * self.rng.uniform(0.1, 1.0)
        return max(LEAST_ASK, longest * self.rng.uniform(0.5, 1.0) - (self.now - self.list_asked))

    def _list_moved(self) -> None:
        """Follow the list at once, a little spread as all siblings may be told together: what was found of
        the old place is void, and a back-off from it would overrun the time after which news counts.
        """
        self.list_failures = 0
        if self.settings.endpoints_polled:
            self._ask_list_in(MOVED_SPREAD * self.settings.guarantees.poll_deadline_ms * self.rng.random())

    def _ask_list_in(self, wait: float) -> None:
        self.list_due = min(self.list_due, self.now + wait)
        self._set_timer(None, self.now + wait)

    def _entry(self, entry: EndpointEntry) -> None:
        worker = self.workers.get(entry.worker)
        if worker is None:
            if entry.state is EndpointState.REMOVED:
                return
            worker = self.workers[entry.worker] = Worker(entry)
            self.pools.add(worker, (None, ("zone", worker.zone), ("cell", worker.cell)))
        before = worker.told()
        if self.settings.weight_kind is WeightKind.LIVE:
            worker.weight += LIVE_SMOOTHING * (entry.weight - worker.weight)
        elif entry.weight > 0:
            worker.weight = entry.weight
        worker.ready, worker.classes = entry.state is EndpointState.READY, entry.job_classes
        worker.interface, worker.planned = entry.interface, entry.planned_weights
        if before != worker.told():
            self._changed(worker)
        if entry.state is EndpointState.REMOVED:
            self.gone.setdefault(worker.id, self.now)
        else:
            self.gone.pop(worker.id, None)
        if entry.started_at_ms > worker.started_at:
            # A new start: what was held against the old process is void, and it is cold.
            worker.started_at = entry.started_at_ms
            worker.ejected_until, worker.strikes = 0.0, 0

    def _forget(self) -> None:
        """Forget what left the list so long ago that nothing is held against it, but where an attempt is out,
        or a planner's own word of when to come back holds. Jobs keep what they have tried. What is back
        sooner, as a list may lack it once, is as it was; later it is new, and cold if its start says so.
        """
        for name in list(takewhile(lambda name: self.gone[name] <= self.now - FORGET_MS, self.gone)):
            worker = self.workers[name]
            del self.gone[name]
            if worker.out or worker.ejected_until > self.now:
                self.gone[name] = self.now  # to be looked at again
            else:
                del self.workers[name]
                self.pools.remove(worker)

    def _changed(self, worker: Worker) -> None:
        """Have what the list tells of a worker count in the draws."""
        (self.planned.add if worker.ready and worker.planned else self.planned.discard)(worker.id)
        self.pools.change(worker)

    def _weights(self, worker: Worker, key: tuple[int, frozenset[int] | None]) -> tuple[float, ...] | None:
        """What a worker is drawn by for the jobs of a class; None where it is not ready, or not for them. By
        the plan where there is one (who has just come waits for its part), then by the list, then evenly.
        """
        number, fits = key
        if (
            not worker.ready
            or (worker.classes is not None and number not in worker.classes)
            or (fits is not None and worker.interface not in fits)
            or (self.settings.classes[number].worker_kind not in (None, worker.kind))
        ):
            return None
        listed = 0.0 if self.settings.weight_kind is WeightKind.NONE else worker.weight
        planned = worker.planned or ()  # which knows no class that came after it
        return planned[number] if number < len(planned) else 0.0, listed, 1.0

    # ---- draws

    def _draw(self, job: Job, scope: Scope) -> Worker | None:
        """A worker by capacity; one that this dispatcher has cause to doubt is passed over, boundedly. The
        own zone is drawn from first, longer the dearer a crossing: it keeps what it has room for, whatever
        part of the traffic comes in there.
        """
        key = (job.number, job.fits)
        pool = self.pools.get(scope, key)
        if pool is None:
            return None
        doubted = strange = None
        tried = {attempt.worker.id: attempt.out for attempt in job.attempts}
        again = bool(job.attempts)
        near, dear = None, self.settings.costs.cross_zone_cost
        if (
            scope is None
            and self.settings.zone_count > 1
            and not self.planned
            and (  # a plan weighed this
                (self._f() or 0.0) <= NEAR_LONGER * dear
            )
        ):
            near = self.pools.get(("zone", self.settings.own_zone), key)
            if near and self.rng.random() * pool.total > near.total * self.settings.zone_count:
                near = None  # a zone with few workers, or few left, keeps no more than its capacity's part
        for place in range(DRAWS):
            worker = (near if near and place < NEAR_DRAWS + NEAR_DEAR * dear else pool).draw(self.rng)
            if self._cold(worker) and (place or again or not self._cold_turn(worker, job)):
                continue
            if worker.id not in tried and not self._doubt(worker, job):
                if self._connected(worker):
                    return worker
                strange = strange or worker
            elif not tried.get(worker.id) and (
                doubted is None or self._last_resort(worker) < self._last_resort(doubted)
            ):
                doubted = worker
        return strange or doubted

    def _last_resort(self, worker: Worker) -> tuple[bool, float]:
        """Where each draw was doubted, the least held is taken, and one that fails jobs last: it ends them at
        once, so that it would be that least.
        """
        return worker.failing > 0 and worker.ejected_until > self.now, worker.held / self._size(worker)

    def _connected(self, worker: Worker) -> bool:
        """Whether a send there needs no new connection, where that has a price."""
        return self.settings.costs.handshake_cost < DEAR_HANDSHAKE or (
            worker.idle > 0 and self.now - worker.idle_at < self.settings.limits.idle_timeout_ms
        )

    def _link_lost(self, number: WorkerId) -> None:
        """Guards against draws that prefer a worker for connections it has closed: each would open one."""
        worker = self.workers.get(number)
        if worker is not None:
            worker.idle = max(0, worker.idle - 1)

    def _doubt(self, worker: Worker, job: Job) -> bool:
        if worker.ejected_until > self.now:
            return True
        if (
            worker.pace > SLOW * self.pace
            and self.now - worker.pace_at < PACE_AGE
            and (self.rng.random() > self.pace / worker.pace)
        ):
            return True  # its jobs would be late; a trickle tells when it is well again
        if self.settings.workers_report_start:
            # What own jobs hold is no capacity: the draw goes by what is left of it.
            return worker.unstarted > 0 or self.rng.random() * SLOTS < worker.held * (job.slots + 1) / 2
        # Guards against queues that nobody tells of: reports are older than the jobs sent since, so what own
        # jobs leave is the capacity. Its high power keeps a box with few of them from filling up by chance.
        return self.rng.random() > math.pow(max(0.0, 1 - worker.held / self._size(worker)), LEFT_POWER)

    def _size(self, worker: Worker) -> float:
        """Its slots: the most that any worker of its kind reported, or a guess."""
        return self.slots.get(worker.kind) or SLOTS

    def _part(self) -> float:
        """The part of all jobs that are this dispatcher's own: by the reports, else an equal one."""
        return self.mine / self.all if self.all else 1.0 / self.settings.scheduler_count

    def _cold(self, worker: Worker) -> bool:
        return worker.started_at > 0 and self.now - worker.started_at < self.settings.guarantees.slow_start_ms

    def _cold_turn(self, worker: Worker, job: Job) -> bool:
        """A cold worker is taken with the chance of what it can do by now, at a job's first draw alone: all
        siblings together send it what a warm one bears times that part, and no redraws, which pile up on
        newcomers as they look idle. A heavy job goes there more rarely.
        """
        rules = self.settings.guarantees
        age = max(0.0, self.now - worker.started_at)
        part = (
            rules.initial_capacity_fraction
            + (1 - rules.initial_capacity_fraction) * age / rules.slow_start_ms
        )
        heavy = job.slots * self.means[job.number] / self.mean if self.mean else job.slots
        taken = min(self.served, 1 - self._turned_away())
        return self.rng.random() * max(1.0, heavy) < part * taken

    # ---- what a job may still do

    def _may(self, job: Job) -> tuple[bool, Scope, bool]:
        """(send again, only to these workers, refuse) by the class's effect. All paths ask here: nothing
        that may have run is repeated beyond its group and window, or refused as if it had not.
        """
        limits, cls = self.settings.limits, job.cls
        first = job.first()
        free = len(job.attempts) < limits.max_attempts and not job.over and not job.stream
        if not limits.parallel_attempts and any(attempt.out for attempt in job.attempts):
            free = False
        if first is None or cls.idempotency is Idempotency.IDEMPOTENT:
            return free, None, True
        if cls.idempotency is Idempotency.NON_IDEMPOTENT:
            return False, None, False
        in_time = self.now < first.sent_at + cls.idempotency_window_ms - 2 * self.settings.tick_ms
        scope: Scope = {
            DeduplicationScope.ALL: None,
            DeduplicationScope.ZONE: ("zone", first.worker.zone),
            DeduplicationScope.CELL: ("cell", first.worker.cell),
        }[cls.deduplication_scope]
        return free and in_time, scope, cls.deduplication_scope is DeduplicationScope.ALL and in_time

    def _write_within(self, job: Job) -> float:
        """What is left of the window in which a keyed job may be repeated: a connection may come up late."""
        if job.cls.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
            return 0.0
        first = job.first()
        if first is None or first.sent_at == self.now:
            return 0.0
        return max(
            self.settings.tick_ms,
            first.sent_at + job.cls.idempotency_window_ms - 2 * self.settings.tick_ms - self.now,
        )

    # ---- the failure probability

    def _turned_away(self) -> float:
        """The part of recent attempts that workers themselves turned away."""
        return self.window.turned / WINDOW

    def _f(self) -> float | None:
        """The part of recent attempts that found no room; None while there are too few."""
        return self.window.f(self.now)

    def _allowed(self, job: Job) -> int:
        """Equation 2: attempts that find room with the class's assurance."""
        most = self.settings.limits.max_attempts
        f = self._f()
        if f is None:
            # Too few samples: one attempt, and one more for each that itself proved to have found no room.
            return min(most, 1 + job.failures)
        if f <= 0:
            return 1
        if f >= 1:
            return most
        return max(1, min(most, math.ceil(math.log(job.unsure) / math.log(f))))

    # ---- jobs

    def _submitted(self, event: JobSubmitted) -> None:
        cls = self.settings.classes[event.job_class]
        job = self.jobs[event.job_id] = Job(event, cls, self.now)
        job.unsure = UNSURE * min(1.0, self.least_worth / (cls.priority_weight or self.least_worth))
        over = self._over_share(event.tenant)
        job.unsure = UNSURE if over else job.unsure
        f = self._f()
        most = BUSY if over else REFUSE_ABOVE
        if f is not None and self._value(job) < CHEAP:
            # What is worth little for its work goes first, the more of it the nearer the load is to full.
            most = min(most, self.rng.uniform(CHEAP_FROM, REFUSE_ABOVE))
        if (
            f is not None
            and f + TURNED_AWAY * self._turned_away() > most
            and (self.rng.random() >= TRIED_ANYWAY)
        ):
            self._close(job)
            return
        self.waiting[job.id] = job
        self._set_timer(job.id, job.deadline - 2 * self.settings.tick_ms)
        self._step(job)

    def _value(self, job: Job) -> float:
        """The job's worth for its work, beside that of the mean job served."""
        work = 1.0 if self.settings.weight_by_work else self.means[job.number] * job.slots
        return job.cls.priority_weight / work / self.value if work and self.value else 1.0

    def _over_share(self, tenant: int) -> bool:
        """Whether this job is over its tenant's share: of a tenant that sends more than this dispatcher's
        part of its allowance, the excess is. Where nobody tells the part, an equal one says little of uneven
        traffic: only a tenant with a larger part of the own traffic than its share is over it.
        """
        tenants = self.settings.tenants
        if tenant >= len(tenants) or not tenants[tenant].quota_per_s:
            return False  # none is told: nothing is beyond it
        mine, every, told = self.heard[tenant].add(self.now), self.heard_all.add(self.now), tenants[tenant]
        allowed = told.quota_per_s / 1000 * SHARE_MS * self._part()
        if not self.all and mine <= UNEVEN * told.quota_share / self.shares * every:
            return False
        return mine > max(1.0, allowed) and self.rng.random() > allowed / mine

    def _step(self, job: Job) -> None:
        """Do what is due for a job."""
        if job.over or job.stream:
            return
        outs = job.outs()
        if outs:
            self._tend(job, outs)
        elif self.now >= job.deadline - 3 * self.settings.tick_ms:
            self._close(job)
        elif self.now >= job.resume:
            self._place(job)
        else:
            self._wake(job, job.resume)

    def _place(self, job: Job) -> None:
        """Send the job to a drawn worker, or ask drawn workers first where that is cheap."""
        may_send, scope, refusable = self._may(job)
        # What broke off and can't be refused would be lost to its client, who must not ask again: nobody else
        # can repeat it, so it gets all the attempts that there are.
        alone = bool(job.broken) and not refusable and not job.outs()
        allowed = (
            self.settings.limits.max_attempts
            if alone
            else (max(self._allowed(job), 1 + job.failed) + job.broken)
        )
        if not may_send or len(job.attempts) >= max(job.promised, allowed):
            if not job.outs():
                self._close(job)
            return
        if (
            job.attempts
            and not alone
            and self.now > job.came + job.cls.latency_objective_ms
            and (self._f() or 0.0) > BUSY
        ):
            # Too late to be in time, and others still could be: not one more attempt in a busy fleet.
            if not job.outs():
                self._close(job)
            return
        worker = self._draw(job, scope)
        if worker is None:
            self._pause(job)
        else:
            self._send(job, worker)

    def _send(self, job: Job, worker: Worker) -> None:
        now = self.now
        attempt = Attempt(worker, now)
        job.attempts.append(attempt)
        worker.out += 1
        self.waiting.pop(job.id, None)
        worker.idle = (
            max(0, worker.idle - 1) if now - worker.idle_at < self.settings.limits.idle_timeout_ms else 0
        )
        self.actions.append(StartAttempt(job.id, worker.id, write_within_ms=self._write_within(job)))
        if self.settings.workers_report_start:
            worker.unstarted += 1
            self._wake(job, now + self._bound(job))
            return
        # Nobody will tell: as far as is known it runs from now on. Where reports tell which part of all jobs
        # is the own one, a fleet whose queues fill shows at once in what own jobs hold; else in late answers.
        attempt.started, attempt.counted = True, self.all > 0
        if attempt.counted:
            self.window.add(now, worker.held > CROWDED * self._size(worker) * self._part())
        worker.held += job.slots

    def _bound(self, job: Job) -> float:
        """How long a sent job may take to start: it grows with the attempts, as the pauses do, and where
        workers turn jobs away, for there a job that was taken has only a short queue before it; copies of
        it would fill a busy fleet with work done twice, above all where a cancel stops nothing. While draws
        find room it is no shorter than a new connection may take, as the next attempt would need one after a
        cancel: handshakes that are counted as lack of room make a fleet look full.
        """
        part = (
            START_PART + START_DEAR * self.settings.costs.handshake_cost + TURNED_PART * self._turned_away()
        )
        opening = (1 - (self._f() or 0.0)) * self.settings.limits.connect_timeout_ms
        return max(3 * self.settings.tick_ms, part * job.cls.latency_objective_ms, opening) * 2.0 ** (
            len(job.attempts) - 1
        )

    def _tend(self, job: Job, outs: list[Attempt]) -> None:
        """Watch the attempts that are out: those that do not start, and those that stall."""
        settings = self.settings
        if not settings.workers_report_start:
            return
        running = [attempt for attempt in outs if attempt.started]
        if running:
            for attempt in outs:
                if not attempt.started:
                    self._cancel(job, attempt)
            self._watch_progress(job, running)
            return
        due = max(attempt.sent_at for attempt in outs) + self._bound(job)
        if self.now < due:
            self._wake(job, due)
            return
        for attempt in outs:
            if not attempt.counted:
                attempt.counted = True
                self._no_room(attempt.worker)
                job.failures += 1
        if settings.limits.parallel_attempts:
            # The place in the queue is kept until another attempt starts.
            self._place(job)
        elif job.cls.idempotency is not Idempotency.NON_IDEMPOTENT and len(job.attempts) < self._allowed(job):
            job.promised = len(job.attempts) + 1
            for attempt in outs:
                self._cancel(job, attempt)

    def _watch_progress(self, job: Job, running: list[Attempt]) -> None:
        """Draw a job again whose worker has fallen silent, where its class allows: a machine that vanished or
        was cut off closes no connection, and without this its jobs wait there until their deadline.
        """
        due = max(attempt.heard_at for attempt in running) + STALLED * self.settings.progress_interval_ms
        cls, limits = job.cls, self.settings.limits
        if (
            not self.settings.progress_interval_ms
            or not limits.may_cancel
            or len(job.attempts) >= limits.max_attempts
            or (cls.idempotency is Idempotency.NON_IDEMPOTENT)
            or (
                cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                and due > job.attempts[0].sent_at + cls.idempotency_window_ms
            )
        ):
            return
        if self.now < due:
            self._wake(job, due)
            return
        job.promised = len(job.attempts) + 1
        for attempt in running:
            if not attempt.cancelled:
                self._no_room(attempt.worker)
                self._cancel(job, attempt)

    def _cancel(self, job: Job, attempt: Attempt) -> None:
        if self.settings.limits.may_cancel and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(CancelAttempt(job.id, job.attempts.index(attempt)))

    def _no_room(self, worker: Worker, full: bool = False) -> None:
        """A draw found no room: it counts in f, and the worker is passed over for a while."""
        self.window.add(self.now, True, full)
        worker.ejected_until = self.now + EJECTION_MS * 2**worker.strikes * self.rng.uniform(0.5, 1.5)
        worker.strikes = min(worker.strikes + 1, EJECTION_DOUBLINGS)

    def _room(self, worker: Worker, late: bool = False) -> None:
        self.window.add(self.now, late)
        worker.strikes, worker.ejected_until = 0, 0.0

    def _pause(self, job: Job) -> None:
        """Wait a random while that grows with the failures, then go on."""
        mean = min(
            PAUSE_PART * job.cls.latency_objective_ms * 2.0**job.failures,
            LONGEST_PAUSE * job.cls.latency_objective_ms,
        )
        job.resume = self.now + mean * self.rng.uniform(0.5, 1.5)
        self._wake(job, job.resume)

    def _close(self, job: Job) -> None:
        """Give the final answer that the job's effect allows."""
        if self._may(job)[2]:
            # The client's aim runs on while it waits: it is asked back as soon as a longest pause is over.
            # Also where clients are not bound to it: a refusal says when to come back.
            spread = self.rng.uniform(0.5, 1.5) if self.settings.limits.clients_honour_retry_after else 1.0
            wait = LONGEST_PAUSE * job.cls.latency_objective_ms * spread
            self.actions.append(RejectRequest(job.id, wait))
        else:
            self.actions.append(FailRequest(job.id))
        self._over(job)

    def _over(self, job: Job) -> None:
        job.over = True
        if job.attempts or job.failures:
            self.served += MEAN_SMOOTHING * (job.served - self.served)
        self.waiting.pop(job.id, None)
        outs = job.outs()
        for attempt in outs:
            self._cancel(job, attempt)
        if not outs:
            self.jobs.pop(job.id, None)

    # ---- what comes back

    def _finished(self, event: AttemptFinished) -> None:
        job = self.jobs.get(event.job_id)
        if (
            job is None
            or event.attempt_index >= len(job.attempts)
            or not job.attempts[event.attempt_index].out
        ):
            return
        attempt = job.attempts[event.attempt_index]
        worker = attempt.worker
        attempt.out = False
        worker.out -= 1
        attempt.unrun = event.outcome in UNRUN
        job.served = job.served or event.outcome is Outcome.OK
        self._report(worker, event.load_report)
        if attempt.started:
            worker.held = max(0.0, worker.held - job.slots)
        else:
            worker.unstarted = max(0, worker.unstarted - 1)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            worker.idle, worker.idle_at = worker.idle + 1, self.now
        if event.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            if not attempt.counted or not self.settings.workers_report_start:
                self._no_room(worker, event.outcome is Outcome.REJECTED)
            job.failures += 1
        elif event.outcome is Outcome.ERROR:
            # Guards against a worker that fails jobs fast: its connections come free at once and it drew
            # them to itself. It is passed over, longer with each error until it serves some; f is untouched,
            # so that it would allow its jobs no second attempt.
            worker.failing = min(worker.failing + 1, 2 * EJECTION_DOUBLINGS)
            spell = EJECTION_MS * 2 ** min(worker.failing, EJECTION_DOUBLINGS) * (0.5 + job.id * GOLDEN % 1.0)
            worker.ejected_until = max(worker.ejected_until, self.now + spell)
            job.failed += 1
        elif event.outcome is Outcome.RESET:
            # Guards against a job given up because a kept connection was stale or a worker died:
            # that says nothing of room, and f, which counts room alone, would allow no second attempt.
            job.broken += 1
        elif event.outcome is Outcome.OK:
            took = self.now - attempt.news_at if attempt.started else event.elapsed_ms
            self.means[job.number] += MEAN_SMOOTHING * (took - self.means[job.number])
            self.mean += MEAN_SMOOTHING * (took * job.slots - self.mean)
            self.worth += MEAN_SMOOTHING * (job.cls.priority_weight - self.worth)
            self.value = self.worth / (1.0 if self.settings.weight_by_work else self.mean or 1.0)
            self._paced(job, attempt, 1.0)
            worker.failing = max(0, worker.failing - 1)  # one that fails half of its jobs stays known for it
            if not attempt.counted:
                late = took > job.cls.latency_objective_ms + job.cls.latency_objective_per_work * (
                    job.work or took / 2
                )
                self._room(worker, late and not self.settings.workers_report_start)
        if event.answered and not job.over:
            self._over(job)
        elif job.over:
            if not job.outs():
                self.jobs.pop(job.id, None)
        elif not job.outs():
            self.waiting[job.id] = job
            self._pause(job)
            if event.pushback_ms is not None:
                # Its worker knows better than a drawn pause when there will be room, or that there won't.
                job.resume = max(job.resume, self.now + event.pushback_ms)
                worker.ejected_until = max(worker.ejected_until, job.resume)
                if event.pushback_ms < 0 or job.resume >= job.deadline:
                    self._close(job)
            self._step(job)

    def _report(self, worker: Worker, report: tuple[float, ...]) -> None:
        """Learn a worker's slots, and the own part of what fills them. What a report doesn't tell of free
        slots, waiting jobs and jobs in hand follows from the rest and from the most slots seen.
        """
        if not report:
            return
        value = {name: report[place] for name, place in self.fields.items() if place < len(report)}
        free, queue, held = value.get("free_slots"), value.get("queue"), value.get("inflight")
        if free is None and held is None:
            return
        seen = self.slots.get(worker.kind, 0.0)
        if free is not None:
            used = 0.0 if held is None else held - (queue or 0.0)
            seen = self.slots[worker.kind] = max(seen, round(free + used))
        elif held is not None and queue is not None:
            seen = self.slots[worker.kind] = max(seen, round(held - queue))
        in_hand = seen - (free or 0.0) + (queue or 0.0) if held is None else held
        self.mine += MEAN_SMOOTHING * (worker.held - self.mine)
        self.all += MEAN_SMOOTHING * (max(worker.held, in_hand) - self.all)

    def _note(self, event: AttemptProgressed) -> None:
        job = self.jobs.get(event.job_id)
        if job is None or event.attempt_index >= len(job.attempts):
            return
        attempt = job.attempts[event.attempt_index]
        if event.kind == ProgressKind.STARTED and not attempt.started:
            attempt.started = True
            attempt.news_at = attempt.heard_at = self.now
            attempt.worker.unstarted = max(0, attempt.worker.unstarted - 1)
            attempt.worker.held += job.slots
            if not attempt.counted:
                self._room(attempt.worker)
            attempt.counted = True
            self._step(job)
        elif event.kind == ProgressKind.PROGRESS:
            attempt.heard_at = self.now
            if event.done_fraction > LEAST_DONE:
                self._paced(job, attempt, event.done_fraction)

    def _paced(self, job: Job, attempt: Attempt, done: float) -> None:
        """Learn how fast a worker works, where jobs come with a hint of their work."""
        if job.work and attempt.started and self.settings.workers_report_start:
            pace, worker = (self.now - attempt.news_at) / (job.work * done), attempt.worker
            old = worker.pace if self.now - worker.pace_at < PACE_AGE else pace
            worker.pace, worker.pace_at = old + 0.5 * (pace - old), self.now
            self.pace += MEAN_SMOOTHING * (pace - self.pace) if self.pace else pace

    def _withdrawn(self, number: int) -> None:
        job = self.jobs.get(number)
        if job is not None and not job.over:
            self._over(job)

    def _first_byte(self, event: ResponseStarted) -> None:
        job = self.jobs.get(event.job_id)
        if job is None or event.attempt_index >= len(job.attempts):
            return
        job.stream = True
        for place, attempt in enumerate(job.attempts):
            if attempt.out and place != event.attempt_index:
                self._cancel(job, attempt)

    # ---- timers

    def _set_timer(self, job: int | None, when: float) -> None:
        self.tokens += 1
        self.timers[self.tokens] = job
        self.actions.append(SetTimer(self.tokens, max(0.0, when - self.now)))

    def _wake(self, job: Job, when: float) -> None:
        """See to the job at `when`, unless an earlier timer will do so first."""
        if when < job.wake:
            job.wake = when
            self._set_timer(job.id, when)

    def _timer(self, token: int) -> None:
        if token not in self.timers:
            return
        number = self.timers.pop(token)
        if number is None:
            if self.now >= self.list_due:
                self.list_due, self.list_asked = math.inf, self.now
                self.actions.append(WatchEndpoints(True))
        elif (job := self.jobs.get(number)) is not None:
            if self.now >= job.wake:
                job.wake = math.inf
            self._step(job)
