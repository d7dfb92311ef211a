"""Event streams for the dispatcher: a small world of workers, clients and discovery, drawn from a seed.

The world answers the dispatcher's actions, so that streams hold what really follows from them: attempts
that end in every outcome, lists of every kind, drains, restarts, lost zones, reloads, tenants over quota.
It speaks the recordings' words alone (`names.py`).
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from typing import Any

from equivalence.names import Decisions, Fields, Item

EVENTS_PER_STREAM = 480
OUTCOMES = ("ERROR", "FULL", "TIMEOUT", "CONNECT_FAILED", "RESET", "MOOT")

# Four deployments: what differs between them decides which rules are at work.
SITES: dict[str, Fields] = {
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
    """A site's settings; three streams of four change some of them as another deployment might."""
    settings: Fields = dict(list(SITES.values())[seed % len(SITES)])
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
    """One worker of the world, and how well it is."""

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
        self.trouble = rng.choice((0.0, 0.0, 0.1, 0.3, 0.8))
        self.slowness = rng.choice((0.3, 1.0, 1.0, 4.0))

    def entry(self) -> Fields:
        """Its entry in the list."""
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


class World:
    """Everything around one dispatcher."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"stream {seed}")
        self.settings = settings_of(seed, self.rng)
        self.decisions = Decisions(self.settings, seed * 7919 + 11, on_sockets=self.rng.random() < 0.4)
        self.now = 1.7e12 if seed % 2 else 1000.0
        self.load = self.rng.choice((4.0, 12.0, 40.0, 120.0))  # jobs a second
        self.planned = self.rng.random() < 0.15  # whether a placement plan gives the weights
        self.discovery_trouble = self.rng.choice((0.1, 0.35, 0.9))
        self.workers = [
            Worker(number, self.settings, self.rng) for number in range(self.rng.choice((2, 5, 12, 30)))
        ]
        self.spare = len(self.workers)
        self.version = 1
        self.out: dict[tuple[int, int], Worker] = {}
        self.attempts: dict[int, int] = {}
        self.answered: set[int] = set()
        self.jobs = 0
        self.events = 0
        self._order = 0
        self._queue: list[tuple[float, int, Item]] = []
        if self.planned:
            for worker in self.workers:
                worker.planned = [self.rng.choice((0.0, 0.3, 1.0)) for _ in self.settings["services"]]
        self.at(
            0.0, "ListNews", kind="CACHED", version=1, entries=[worker.entry() for worker in self.workers]
        )
        self.at(self.rng.random() * 20.0, "arrival")
        self.at(self.rng.uniform(100.0, 900.0), "churn")

    def at(self, delay: float, name: str, **fields: Any) -> None:
        """Have an event come after a delay (ms)."""
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, (name, fields)))

    def turns(self) -> Iterator[tuple[float, list[Item], list[Item]]]:
        """Time, events and actions of each turn, until the stream is long enough."""
        tick = self.settings["tick"]
        while self.events < EVENTS_PER_STREAM:
            self.now = max(self.now + tick, self._queue[0][0])
            items: list[Item] = []
            while self._queue and self._queue[0][0] <= self.now:
                _, _, (name, fields) = heapq.heappop(self._queue)
                items += self.come(name, fields)
            if not items:
                continue
            self.events += len(items)
            actions = self.decisions.handle(self.now, items)
            for action in actions:
                self.carry_out(*action)
            yield self.now, items, actions

    def come(self, name: str, fields: Fields) -> list[Item]:
        """What has come due, as events; the world's own affairs are none."""
        rng = self.rng
        if name == "arrival":
            return self.arrival()
        if name == "churn":
            rarely = 8.0 if self.discovery_trouble > 0.5 else 1.0  # no news where discovery is down
            self.at(rng.uniform(100.0, 1500.0) * rarely, "churn")
            return self.churn()
        if name == "ask":
            return self.list_answer()
        if name == "leave":
            if fields["job"] in self.answered:
                return []
            self.answered.add(fields["job"])
            return [("Withdrawn", fields)]
        if name in ("Note", "FirstByte") and (fields["job"], fields["attempt"]) not in self.out:
            return [] if rng.random() < 0.8 else [(name, fields)]
        if name == "Finished":
            return self.finished(fields)
        return [(name, fields)]

    def arrival(self) -> list[Item]:
        """One job, and when the next one comes."""
        rng = self.rng
        self.at(rng.expovariate(self.load) * 1000.0, "arrival")
        self.jobs += 1
        number = rng.randrange(len(self.settings["services"]))
        deadline = self.settings["services"][number]["deadline"]
        if rng.random() < 0.04:
            self.at(rng.uniform(0.0, deadline), "leave", job=self.jobs)
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

    def finished(self, fields: Fields) -> list[Item]:
        """The end of an attempt, once."""
        if self.out.pop((fields["job"], fields["attempt"]), None) is None:
            return []
        if fields["outcome"] == "OK":
            self.answered.add(fields["job"])
        return [("Finished", fields | {"settled": fields["job"] in self.answered})]

    def churn(self) -> list[Item]:
        """Something happens to the fleet."""
        rng = self.rng
        what = rng.random()
        if what < 0.08:
            return [("ListMoved", {})]
        if what < 0.2:
            return [("LinkLost", {"worker": rng.choice(self.workers).name})]
        if what < 0.26:
            self.reload()
            return []
        if what < 0.29:
            self.now += 65_000.0  # a long quiet time, or a process that stood still
            return []
        if what < 0.31:
            stranger = Worker(9_000 + self.spare, self.settings, rng)
            stranger.state = "GONE"
            return self.news("DELTA", [stranger])
        if what < 0.33:
            return [
                ("Note", {"job": self.jobs + 1000, "attempt": 0, "worker": b"\0", "kind": "STARTED"}),
                ("Withdrawn", {"job": self.jobs + 1000}),
                ("TimerFired", {"token": 10**9}),
                ("FirstByte", {"job": self.jobs + 1000, "attempt": 0, "worker": b"\0", "elapsed": 1.0}),
                ("Finished", self.end(self.jobs + 1000, 0, "ERROR") | {"settled": False}),
            ]
        if what < 0.4:
            zone = rng.randrange(max(1, len(self.settings["areas"])))
            state = rng.choice(("GONE", "READY"))
            changed = [worker for worker in self.workers if worker.zone == zone]
            for worker in changed:
                worker.state = state
        else:
            changed = rng.sample(self.workers, min(len(self.workers), rng.choice((1, 1, 2, 4))))
            for worker in changed:
                self.change(worker)
        if rng.random() < 0.2:
            self.spare += 1
            self.workers.append(Worker(self.spare, self.settings, rng))
            self.workers[-1].started_at = self.now - rng.uniform(0.0, 500.0)
            changed.append(self.workers[-1])
        return self.news("DELTA", changed)

    def change(self, worker: Worker) -> None:
        """A drain, an end, a restart, another weight, or better or worse health."""
        rng = self.rng
        what = rng.randrange(6)
        if what == 0:
            worker.state = "DRAINING"
        elif what == 1:
            worker.state = "GONE"
        elif what <= 3:
            worker.state, worker.started_at = "READY", self.now - rng.uniform(0.0, 800.0)
        elif what == 4:
            worker.weight = rng.choice((0.0, 0.5, 1.0, 3.0))
        else:
            worker.trouble, worker.slowness = rng.choice((0.0, 0.2, 0.9)), rng.choice((0.3, 1.0, 4.0))

    def reload(self) -> None:
        """New settings: other limits, and at times a class more."""
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
        self.decisions.retune(self.settings)

    def news(self, kind: str, workers: list[Worker]) -> list[Item]:
        """A piece of list news."""
        self.version += 1
        return [
            ("ListNews", {"kind": kind, "version": self.version, "entries": [one.entry() for one in workers]})
        ]

    def list_answer(self) -> list[Item]:
        """Discovery answers a call, or doesn't."""
        rng = self.rng
        if rng.random() < self.discovery_trouble:
            return [("ListNews", {"kind": "FAILED"})]
        self.at(rng.uniform(300.0, 6000.0), "ListNews", kind="FAILED")  # the watch ends
        return self.news(
            "FULL",
            [worker for worker in self.workers if rng.random() < (0.1 if worker.state == "GONE" else 0.93)],
        )

    def carry_out(self, name: str, fields: Fields) -> None:
        """What an action brings about."""
        rng = self.rng
        if name == "SetTimer":
            self.at(fields["delay"], "TimerFired", token=fields["token"])
        elif name in ("Refuse", "Fail"):
            self.answered.add(fields["job"])
        elif name == "WatchList":
            self.at(rng.choice((1.0, 30.0, 1500.0)), "ask")
        elif name == "Cancel":
            if rng.random() < 0.9:
                self.at(
                    rng.uniform(0.0, 20.0),
                    "Finished",
                    **self.end(fields["job"], fields["attempt"], "CANCELLED"),
                )
        elif name == "Send":
            self.attempt(fields["job"], fields["worker"])

    def attempt(self, job: int, name: bytes) -> None:
        """An attempt begins; what becomes of it is drawn at once."""
        rng = self.rng
        place = self.attempts.get(job, 0)
        self.attempts[job] = place + 1
        worker = next(worker for worker in self.workers if worker.name == name)
        self.out[job, place] = worker
        outcome = rng.choice(OUTCOMES) if rng.random() < worker.trouble or worker.state == "GONE" else "OK"
        queued = rng.choice((1.0, 20.0, 20.0, 900.0)) * worker.slowness
        lasts = rng.expovariate(1.0) * 300.0 * worker.slowness + 1.0
        if self.settings["familyInfo"].get("tellsStart") and rng.random() < 0.9:
            self.at(queued, "Note", job=job, attempt=place, worker=name, kind="STARTED")
            for part in (0.3, 0.7):
                if rng.random() < 0.5:
                    self.at(
                        queued + part * lasts,
                        "Note",
                        job=job,
                        attempt=place,
                        worker=name,
                        kind="PROGRESS",
                        done=part,
                    )
        if rng.random() < 0.05:
            self.at(
                queued + lasts * 0.5, "FirstByte", job=job, attempt=place, worker=name, elapsed=lasts * 0.5
            )
        if outcome in ("FULL", "CONNECT_FAILED", "MOOT"):
            queued = lasts = rng.choice((0.0, 2.0, 200.0))
        self.at(queued + lasts, "Finished", **self.end(job, place, outcome, queued + lasts))

    def end(self, job: int, place: int, outcome: str, elapsed: float = 1.0) -> Fields:
        """The end of an attempt as an event's fields."""
        rng = self.rng
        count = len(self.settings["stats"]["fields"]) if rng.random() < 0.7 else 0
        worker = self.out.get((job, place))
        return {
            "job": job,
            "attempt": place,
            "worker": worker.name if worker else b"\0",
            "outcome": outcome,
            "elapsed": elapsed,
            "report": [float(rng.randint(0, 8)) for _ in range(count)],
            "pushback": rng.choice((50.0, 900.0, -1.0)) if rng.random() < 0.02 else None,
        }
