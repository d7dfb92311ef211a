"""Event streams for the dispatcher: simulated workers, clients and discovery, generated from a seed.

The simulation carries out the dispatcher's actions, so that later events follow from them: attempts with
every outcome, all kinds of endpoint updates, drains, restarts, lost zones, reloads, tenants over quota. It
uses only the recorded names (`names.py`).
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from typing import Any

from equivalence.names import Fields, Item, TranslatedDispatcher

EVENTS_PER_STREAM = 480
OUTCOMES = ("ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "MOOT")

# Four deployments, whose differences determine which rules apply.
DEPLOYMENTS: dict[str, Fields] = {
    "lima-planning": {
        "areas": ["lima-norte", "arequipa"],
        "shapes": ["fast", "standard", "slow"],
        "discovery": "on_request",
        "familyInfo": {"tellsStart": True, "progress": 2000.0, "classKind": [-1, -1]},
        "weights": "rough",
        "tick": 2.0,
        "permissions": {
            "cancel": True,
            "connectTimeout": 250.0,
            "idleClose": 30000.0,
            "maxAttempts": 5,
            "probes": True,
            "retryAfter": True,
        },
        "rules": {
            "answerSlack": 8.0,
            "askWithin": 10000.0,
            "drainGrace": 1500.0,
            "cold": 9000.0,
            "coldFrom": 0.3,
            "tipMultiple": 3.0,
            "overloadFor": 1500.0,
        },
        "services": [
            {"name": "quote", "deadline": 5000.0, "goalTime": 1000.0, "gain": 5.0, "repeat": "retryable"},
            {
                "name": "book",
                "deadline": 15000.0,
                "goalTime": 3000.0,
                "gain": 8.0,
                "repeat": "dedup",
                "keyScope": "zone",
                "window": 25000.0,
            },
        ],
        "stats": {"fields": ["x0", "x1", "load_share"], "source": "inline"},
        "siblings": 6,
        "charges": {"crossZone": 0.02, "handshake": 0.03},
        "tenants": [
            {"name": "andes-retail", "share": 0.6, "allowancePerS": 20.0},
            {"name": "costa-carga", "share": 0.4, "allowancePerS": 8.0},
        ],
    },
    "nile-render": {
        "areas": [],
        "shapes": ["cpu", "gpu"],
        "discovery": "pushed",
        "weights": "live",
        "tick": 5.0,
        "familyInfo": {"tellsStart": False, "classKind": [0, -1, 1], "classStretch": [0.5, 0.0, 2.0]},
        "permissions": {"cancel": False, "connectTimeout": 300.0, "idleClose": 8000.0, "maxAttempts": 3},
        "rules": {"answerSlack": 20.0, "drainGrace": 900.0, "cold": 4000.0, "coldFrom": 0.2},
        "services": [
            {"name": "tile", "deadline": 4000.0, "goalTime": 700.0, "gain": 1.0, "repeat": "fragile"},
            {"name": "route", "deadline": 2500.0, "goalTime": 300.0, "gain": 4.0, "repeat": "retryable"},
            {
                "name": "terrain",
                "deadline": 9000.0,
                "goalTime": 5000.0,
                "gain": 9.0,
                "repeat": "dedup",
                "keyScope": "cell",
                "window": 6000.0,
                "stream": True,
            },
        ],
        "stats": {"fields": ["concurrent", "depth"], "source": "inline"},
        "siblings": 3,
        "worthBy": "work",
        "charges": {"waste": 0.1},
        "tenants": [],
    },
    "kivu-parcels": {
        "areas": ["goma", "bukavu", "kigali"],
        "shapes": ["plan"],
        "discovery": "pushed",
        "weights": "nominal",
        "familyInfo": {"tellsStart": False, "progress": 0.0},
        "tick": 4.0,
        "worthBy": "work",
        "locality": 1,
        "permissions": {
            "cancel": True,
            "connectTimeout": 250.0,
            "idleClose": 30000.0,
            "maxAttempts": 2,
            "retryAfter": True,
            "maxRetryAfter": 2000.0,
        },
        "rules": {
            "answerSlack": 15.0,
            "drainGrace": 800.0,
            "cold": 3000.0,
            "coldFrom": 0.25,
            "tipMultiple": 3.0,
        },
        "services": [
            {"name": "hub-lookup", "deadline": 1500.0, "goalTime": 200.0, "gain": 2.0, "repeat": "retryable"},
            {"name": "parcel-label", "deadline": 2000.0, "goalTime": 300.0, "gain": 6.0, "repeat": "fragile"},
        ],
        "stats": {"fields": ["concurrent", "depth", "x0", "x1"], "source": "inline"},
        "siblings": 4,
        "charges": {"crossZone": 0.04, "waste": 0.1},
        "tenants": [
            {"name": "virunga-post", "share": 0.4, "allowancePerS": 9.0},
            {"name": "ruzizi-express", "share": 0.3, "allowancePerS": 5.0},
            {"name": "idjwi-boats", "share": 0.3, "allowancePerS": 0.0},
        ],
    },
    "sahel-tours": {
        "areas": ["niamey", "agadez"],
        "shapes": ["plan"],
        "discovery": "on_request",
        "weights": "nominal",
        "tick": 4.0,
        "familyInfo": {"tellsStart": True, "progress": 500.0},
        "worthBy": "work",
        "permissions": {
            "cancel": True,
            "parallelTries": True,
            "connectTimeout": 250.0,
            "idleClose": 30000.0,
            "maxAttempts": 4,
        },
        "rules": {
            "answerSlack": 15.0,
            "askWithin": 10000.0,
            "drainGrace": 500.0,
            "cold": 3000.0,
            "coldFrom": 0.25,
            "tipMultiple": 2.5,
        },
        "services": [
            {
                "name": "seat-hold",
                "deadline": 3000.0,
                "goalTime": 250.0,
                "gain": 4.0,
                "repeat": "dedup",
                "keyScope": "all",
                "window": 1200.0,
            },
            {"name": "fare-quote", "deadline": 4000.0, "goalTime": 250.0, "gain": 2.0, "repeat": "retryable"},
        ],
        "stats": {"fields": ["concurrent", "depth", "x0", "x1"], "source": "inline"},
        "siblings": 5,
        "charges": {"crossZone": 0.01, "waste": 0.2, "handshake": 0.06},
        "tenants": [
            {"name": "tenere-trips", "share": 0.55, "allowancePerS": 6.0},
            {"name": "air-guides", "share": 0.45, "allowancePerS": 12.0},
        ],
    },
}


def settings_of(seed: int, rng: random.Random) -> Fields:
    """The settings of a deployment; in three streams of four some of them are changed at random."""
    settings: Fields = dict(list(DEPLOYMENTS.values())[seed % len(DEPLOYMENTS)])
    if rng.random() < 0.25:
        return settings
    services = []
    for service in settings["services"]:
        service = dict(service)
        if rng.random() < 0.5:
            service |= {
                "repeat": rng.choice(("retryable", "dedup", "fragile")),
                "keyScope": rng.choice(("all", "zone", "cell")),
                "window": rng.choice((400.0, 1500.0, 9000.0)),
            }
        services.append(service)
    permissions = settings["permissions"] | {
        "cancel": rng.random() < 0.7,
        "parallelTries": rng.random() < 0.4,
        "maxAttempts": rng.randint(1, 5),
        "retryAfter": rng.random() < 0.5,
    }
    rules = settings["rules"] | {
        "cold": rng.choice((0.0, 2000.0, 12000.0)),
        "coldFrom": rng.choice((0.1, 0.5, 1.0)),
    }
    family = settings["familyInfo"] | {
        "tellsStart": rng.random() < 0.6,
        "progress": rng.choice((0.0, 300.0, 900.0)),
    }
    charges = settings["charges"] | {
        "crossZone": rng.choice((0.0, 0.03, 0.1)),
        "handshake": rng.choice((0.0, 0.08)),
    }
    return settings | {
        "services": services,
        "permissions": permissions,
        "rules": rules,
        "familyInfo": family,
        "charges": charges,
        "weights": rng.choice(("off", "nominal", "rough", "live")),
        "discovery": rng.choice(("pushed", "on_request")),
        "worthBy": rng.choice(("request", "work")),
        "siblings": rng.choice((1, 2, 9, 40)),
    }


class Worker:
    """A simulated worker, with its failure probability and a factor on its durations."""

    def __init__(self, number: int, settings: Fields, rng: random.Random) -> None:
        self.name = bytes([10, 0, number // 200, number % 200, 0, 1])
        self.zone = rng.randrange(max(1, len(settings["areas"])))
        self.cell = number // 3
        self.kind = rng.randrange(len(settings["shapes"]))
        self.weight = rng.choice((0.5, 1.0, 1.0, 2.0, 4.0))
        self.started_at = 0.0
        self.state = "READY"
        self.classes = None if rng.random() < 0.9 else [rng.randrange(len(settings["services"]))]
        self.interface = rng.choice((1, 1, 1, 2))
        self.planned: list[float] | None = None
        self.failure_probability = rng.choice((0.0, 0.0, 0.1, 0.3, 0.8))
        self.duration_factor = rng.choice((0.3, 1.0, 1.0, 4.0))

    def entry(self) -> Fields:
        """The worker's entry in the endpoint list."""
        return {
            "worker": self.name,
            "zone": self.zone,
            "cell": self.cell,
            "kind": self.kind,
            "weight": self.weight,
            "started_at": self.started_at,
            "state": self.state,
            "classes": self.classes,
            "interface": self.interface,
            "planned": self.planned,
        }


class Environment:
    """The simulated surroundings of one dispatcher: workers, clients, discovery and a clock."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"stream {seed}")
        self.settings = settings_of(seed, self.rng)
        self.dispatcher = TranslatedDispatcher(
            self.settings, seed * 7919 + 11, on_sockets=self.rng.random() < 0.4
        )
        self.now = 1.7e12 if seed % 2 else 1000.0
        self.jobs_per_s = self.rng.choice((4.0, 12.0, 40.0, 120.0))
        self.planned = self.rng.random() < 0.15  # whether a placement plan gives weights
        self.discovery_failure_probability = self.rng.choice((0.1, 0.35, 0.9))
        self.workers = [
            Worker(number, self.settings, self.rng) for number in range(self.rng.choice((2, 5, 12, 30)))
        ]
        self.last_worker_number = len(self.workers)
        self.version = 1
        self.in_flight: dict[tuple[int, int], Worker] = {}
        self.attempts: dict[int, int] = {}
        self.answered: set[int] = set()
        self.jobs = 0
        self.events = 0
        self._order = 0
        self._queue: list[tuple[float, int, Item]] = []
        if self.planned:
            for worker in self.workers:
                worker.planned = [self.rng.choice((0.0, 0.3, 1.0)) for _ in self.settings["services"]]
        self.schedule(
            0.0, "ListNews", kind="CACHED", version=1, entries=[worker.entry() for worker in self.workers]
        )
        self.schedule(self.rng.random() * 20.0, "arrival")
        self.schedule(self.rng.uniform(100.0, 900.0), "churn")

    def schedule(self, delay: float, name: str, **fields: Any) -> None:
        """Schedule an event after a delay in ms."""
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, (name, fields)))

    def turns(self) -> Iterator[tuple[float, list[Item], list[Item]]]:
        """Time, events and actions of each turn, until the stream has EVENTS_PER_STREAM events."""
        tick = self.settings["tick"]
        while self.events < EVENTS_PER_STREAM:
            self.now = max(self.now + tick, self._queue[0][0])
            items: list[Item] = []
            while self._queue and self._queue[0][0] <= self.now:
                _, _, (name, fields) = heapq.heappop(self._queue)
                items += self.deliver(name, fields)
            if not items:
                continue
            self.events += len(items)
            actions = self.dispatcher.handle(self.now, items)
            for action in actions:
                self.perform(*action)
            yield self.now, items, actions

    def deliver(self, name: str, fields: Fields) -> list[Item]:
        """Events of the dispatcher for a scheduled event; none for the simulation's own events."""
        rng = self.rng
        if name == "arrival":
            return self.submit_job()
        if name == "churn":
            factor = (
                8.0 if self.discovery_failure_probability > 0.5 else 1.0
            )  # discovery that is down sends few updates
            self.schedule(rng.uniform(100.0, 1500.0) * factor, "churn")
            return self.change_workers()
        if name == "ask":
            return self.discovery_response()
        if name == "leave":
            if fields["job"] in self.answered:
                return []
            self.answered.add(fields["job"])
            return [("Withdrawn", fields)]
        if name in ("Note", "FirstByte") and (fields["job"], fields["attempt"]) not in self.in_flight:
            return [] if rng.random() < 0.8 else [(name, fields)]
        if name == "Finished":
            return self.deliver_finished(fields)
        return [(name, fields)]

    def submit_job(self) -> list[Item]:
        """Submit one job, and schedule the next."""
        rng = self.rng
        self.schedule(rng.expovariate(self.jobs_per_s) * 1000.0, "arrival")
        self.jobs += 1
        number = rng.randrange(len(self.settings["services"]))
        deadline = self.settings["services"][number]["deadline"]
        if rng.random() < 0.04:
            self.schedule(rng.uniform(0.0, deadline), "leave", job=self.jobs)
        return [
            (
                "Submitted",
                {
                    "job": self.jobs,
                    "time_left": deadline * rng.choice((1.0, 1.0, 0.5, 0.02)),
                    "job_class": number,
                    "tenant": rng.choice((0, 0, 0, 1, 2)),
                    "slots": rng.choice((1.0, 1.0, 1.0, 2.0, 4.0)),
                    "memory": rng.choice((0.0, 1.0)),
                    "work": rng.choice((None, None, 40.0, 200.0)),
                    "key": rng.getrandbits(64),
                    "repeat": rng.random() < 0.05,
                    "fits": rng.choice((None, None, None, (1,), (1, 2))),
                },
            )
        ]

    def deliver_finished(self, fields: Fields) -> list[Item]:
        """The end of an attempt, which is delivered once."""
        if self.in_flight.pop((fields["job"], fields["attempt"]), None) is None:
            return []
        if fields["outcome"] == "OK":
            self.answered.add(fields["job"])
        return [("Finished", fields | {"settled": fields["job"] in self.answered})]

    def change_workers(self) -> list[Item]:
        """Make one random change to workers, connections, discovery, settings or the clock."""
        rng = self.rng
        choice = rng.random()
        if choice < 0.08:
            return [("ListMoved", {})]
        if choice < 0.2:
            return [("LinkLost", {"worker": rng.choice(self.workers).name})]
        if choice < 0.26:
            self.reload_settings()
            return []
        if choice < 0.29:
            self.now += 65_000.0  # a long time without events, or a suspended process
            return []
        if choice < 0.31:
            unlisted_worker = Worker(9_000 + self.last_worker_number, self.settings, rng)
            unlisted_worker.state = "GONE"
            return self.endpoints_updated("DELTA", [unlisted_worker])
        if choice < 0.33:
            return [
                ("Note", {"job": self.jobs + 1000, "attempt": 0, "worker": b"\0", "kind": "STARTED"}),
                ("Withdrawn", {"job": self.jobs + 1000}),
                ("TimerFired", {"token": 10**9}),
                ("FirstByte", {"job": self.jobs + 1000, "attempt": 0, "worker": b"\0", "elapsed": 1.0}),
                ("Finished", self.finished_fields(self.jobs + 1000, 0, "ERROR") | {"settled": False}),
            ]
        if choice < 0.4:
            zone = rng.randrange(max(1, len(self.settings["areas"])))
            state = rng.choice(("GONE", "READY"))
            changed = [worker for worker in self.workers if worker.zone == zone]
            for worker in changed:
                worker.state = state
        else:
            changed = rng.sample(self.workers, min(len(self.workers), rng.choice((1, 1, 2, 4))))
            for worker in changed:
                self.change_worker(worker)
        if rng.random() < 0.2:
            self.last_worker_number += 1
            self.workers.append(Worker(self.last_worker_number, self.settings, rng))
            self.workers[-1].started_at = self.now - rng.uniform(0.0, 500.0)
            changed.append(self.workers[-1])
        return self.endpoints_updated("DELTA", changed)

    def change_worker(self, worker: Worker) -> None:
        """Drain, remove or restart a worker, or change its weight or its behaviour."""
        rng = self.rng
        choice = rng.randrange(6)
        if choice == 0:
            worker.state = "DRAINING"
        elif choice == 1:
            worker.state = "GONE"
        elif choice <= 3:
            worker.state, worker.started_at = "READY", self.now - rng.uniform(0.0, 800.0)
        elif choice == 4:
            worker.weight = rng.choice((0.0, 0.5, 1.0, 3.0))
        else:
            worker.failure_probability, worker.duration_factor = (
                rng.choice((0.0, 0.2, 0.9)),
                rng.choice((0.3, 1.0, 4.0)),
            )

    def reload_settings(self) -> None:
        """Apply new settings with other limits, and sometimes an additional class."""
        rng = self.rng
        services = [dict(service) for service in self.settings["services"]]
        if rng.random() < 0.5:
            services.append(
                services[rng.randrange(len(services))] | {"name": f"more-{len(services)}", "gain": 3.0}
            )
        if rng.random() < 0.5:
            services[0] |= {"goalTime": services[0]["goalTime"] * rng.choice((0.5, 2.0))}
        family = {
            name: value for name, value in self.settings["familyInfo"].items() if not isinstance(value, list)
        }
        self.settings = self.settings | {
            "services": services,
            "familyInfo": family,
            "weights": rng.choice(("off", "nominal", "live")),
            "permissions": self.settings["permissions"] | {"maxAttempts": rng.randint(1, 5)},
        }
        self.dispatcher.apply_settings(self.settings)

    def endpoints_updated(self, kind: str, workers: list[Worker]) -> list[Item]:
        """An update of the endpoint list."""
        self.version += 1
        return [
            (
                "ListNews",
                {"kind": kind, "version": self.version, "entries": [worker.entry() for worker in workers]},
            )
        ]

    def discovery_response(self) -> list[Item]:
        """The result of a call to discovery: a list or a failure."""
        rng = self.rng
        if rng.random() < self.discovery_failure_probability:
            return [("ListNews", {"kind": "FAILED"})]
        self.schedule(rng.uniform(300.0, 6000.0), "ListNews", kind="FAILED")  # the subscription ends
        return self.endpoints_updated(
            "FULL",
            [worker for worker in self.workers if rng.random() < (0.1 if worker.state == "GONE" else 0.93)],
        )

    def perform(self, name: str, fields: Fields) -> None:
        """Schedule the events that follow from an action."""
        rng = self.rng
        if name == "SetTimer":
            self.schedule(fields["delay"], "TimerFired", token=fields["token"])
        elif name in ("Refuse", "Fail"):
            self.answered.add(fields["job"])
        elif name == "WatchList":
            self.schedule(rng.choice((1.0, 30.0, 1500.0)), "ask")
        elif name == "Cancel":
            if rng.random() < 0.9:
                self.schedule(
                    rng.uniform(0.0, 20.0),
                    "Finished",
                    **self.finished_fields(fields["job"], fields["attempt"], "CANCELLED"),
                )
        elif name == "Send":
            self.start_attempt(fields["job"], fields["worker"])

    def start_attempt(self, job: int, name: bytes) -> None:
        """Start an attempt, whose outcome and times are drawn immediately."""
        rng = self.rng
        attempt_index = self.attempts.get(job, 0)
        self.attempts[job] = attempt_index + 1
        worker = next(worker for worker in self.workers if worker.name == name)
        self.in_flight[job, attempt_index] = worker
        outcome = (
            rng.choice(OUTCOMES)
            if rng.random() < worker.failure_probability or worker.state == "GONE"
            else "OK"
        )
        queue_ms = rng.choice((1.0, 20.0, 20.0, 900.0)) * worker.duration_factor
        service_ms = rng.expovariate(1.0) * 300.0 * worker.duration_factor + 1.0
        if self.settings["familyInfo"].get("tellsStart") and rng.random() < 0.9:
            self.schedule(queue_ms, "Note", job=job, attempt=attempt_index, worker=name, kind="STARTED")
            for fraction in (0.3, 0.7):
                if rng.random() < 0.5:
                    self.schedule(
                        queue_ms + fraction * service_ms,
                        "Note",
                        job=job,
                        attempt=attempt_index,
                        worker=name,
                        kind="PROGRESS",
                        done=fraction,
                    )
        if rng.random() < 0.05:
            self.schedule(
                queue_ms + service_ms * 0.5,
                "FirstByte",
                job=job,
                attempt=attempt_index,
                worker=name,
                elapsed=service_ms * 0.5,
            )
        if outcome in ("FULL", "CONNECT_FAILED", "MOOT"):
            queue_ms = service_ms = rng.choice((0.0, 2.0, 200.0))
        self.schedule(
            queue_ms + service_ms,
            "Finished",
            **self.finished_fields(job, attempt_index, outcome, queue_ms + service_ms),
        )

    def finished_fields(self, job: int, attempt_index: int, outcome: str, elapsed: float = 1.0) -> Fields:
        """The fields of the event that ends an attempt."""
        rng = self.rng
        count = len(self.settings["stats"]["fields"]) if rng.random() < 0.7 else 0
        worker = self.in_flight.get((job, attempt_index))
        return {
            "job": job,
            "attempt": attempt_index,
            "worker": worker.name if worker else b"\0",
            "outcome": outcome,
            "elapsed": elapsed,
            "report": [float(rng.randint(0, 8)) for _ in range(count)],
            "pushback": rng.choice((50.0, 900.0, -1.0)) if rng.random() < 0.02 else None,
        }
