"""Generates the simulator's input frames by running a small site against the simulator.

The site answers the simulator's requests: it settles attempts with random outcomes from
a fixed seed, and returns results of health checks and expired timers. The frames of one
run are stored, so that the test sends the same bytes to every later program.
"""

import heapq
import random
import subprocess

MILLISECOND = 1_000_000
FRAMES = 220
REQUEST_FRAMES = 130
FRAME_STEP = 50 * MILLISECOND
SEED = 20261202

SETTINGS = {
    "classes.count": 4,
    "classes.0.effect": "token",
    "classes.0.key-scope": "zone",
    "classes.0.dedup-window": 5_000_000_000,
    "classes.0.goal-time": 1_000_000_000,
    "classes.0.hard-limit": 8_000_000_000,
    "classes.0.late-worth": 0.3,
    "classes.1.effect": "pure",
    "classes.1.goal-time": 200_000_000,
    "classes.1.hard-limit": 1_500_000_000,
    "classes.1.worth": 2.5,
    "classes.2.effect": "side_effect",
    "classes.2.goal-time": 500_000_000,
    "classes.2.hard-limit": 4_000_000_000,
    "classes.3.effect": "token",
    "classes.3.key-scope": "all",
    "classes.3.dedup-window": 6_000_000_000,
    "classes.3.goal-time": 1_000_000_000,
    "classes.3.hard-limit": 6_000_000_000,
    "classes.3.sequential": "true",
    "realms.count": 2,
    "realms.0.quota-rps": 40.0,
    "realms.1.quota-rps": 5.0,
    "over-share-worth": 0.25,
    "family-info.workers": 8,
    "family-info.bundle-max": "1,5",
    "family-info.own-limits": "false,true",
    "family-info.toll": "0,0.03",
    "family-info.loses-worth": "halves",
    "limits.open-cap": 40,
    "limits.max-attempts": 5,
    "limits.may-cancel": "true",
    "limits.probes": "true",
    "limits.retry-after": "true",
    "limits.max-retry-after": 2_000_000_000,
    "rules.cold": 3_000_000_000,
    "rules.cold-share": 0.31,
    "rules.fall": 1_000_000_000,
    "rules.fall-multiple": 1.5,
    "rules.settle-after-doubt": 300_000_000,
    "weight-source": "rough",
    "tick": 5_000_000,
}
# Settings that differ between the instances of the site.
INSTANCES = {
    0: {"discovery": "push", "group-size": 2},
    1: {"discovery": "ask", "group-size": 2, "limits.may-cancel": "false"},
    2: {"discovery": "push", "group-size": 12, "family-info.loses-worth": "line"},
}
# (endpoint, destination, zone, kind)
ENDPOINTS = (
    ("e_a", 1, 0, 0),
    ("e_b", 1, 1, 0),
    ("e_c", 2, 0, 1),
    ("e_d", 2, 1, 1),
    ("e_e", 3, 0, 0),
)
FAULTS = (255, 254, 253, 252, 251)  # error, full, timeout, connect failed, reset
OUTAGE = range(40, 80)  # frames during which most attempts to destination 1 fail


def line(name, **fields):
    return line_of(name, fields)


def line_of(name, fields):
    parts = [name] + ["%s=%s" % field for field in fields.items()]
    return "\t".join(parts) + "\n"


class Site:
    """Simulates requests, endpoints and timers, and records the frames as a script."""

    def __init__(self, program):
        self.random = random.Random(SEED)
        self.process = subprocess.Popen(
            [program], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.script = ""
        self.now = 1_000 * MILLISECOND
        self.due = []  # (time, order, line)
        self.order = 0
        self.attempts = {}
        self.over = set()
        self.number = 0
        self.frame = 0

    def play(self):
        """Runs all frames. Returns the script."""
        for self.frame in range(FRAMES):
            self.exchange(self.events())
            self.now += FRAME_STEP
        self.process.stdin.close()
        self.process.wait()
        self.process.stdout.close()
        return self.script

    def events(self):
        text = self.start() if self.frame == 0 else ""
        text += self.list_changes()
        while self.due and self.due[0][0] <= self.now:
            text += heapq.heappop(self.due)[2]
        if self.frame < REQUEST_FRAMES:
            for _ in range(self.random.choice((0, 1, 1, 2, 4))):
                text += self.request()
        return text

    def start(self):
        text = self.register(0, ENDPOINTS)
        for who, own in INSTANCES.items():
            settings = SETTINGS | own
            text += line_of("START", {"who": who, "seed": 100 + who} | settings)
            text += line("DISCOVERY", who=who, stamp=1, page=0, form="stale_copy")
        return text

    def register(self, page, endpoints, lifecycle="Running"):
        text = line_of("REGISTER", {"page": page, "rows-in": len(endpoints)})
        for name, destination, zone, kind in endpoints:
            fields = {"endpoint": name, "hall": zone, "sku": kind, "dest": destination}
            text += line_of("ROW", fields | {"lifecycle": lifecycle, "rating": 20})
        return text

    def list_changes(self):
        if self.frame == 60:
            text = self.register(1, ENDPOINTS[3:4], "Stopping")
            return text + self.notify_instances(stamp=2, page=1, form="patch")
        if self.frame == 90:
            text = self.register(1, ENDPOINTS[3:4], "Deleted")
            return text + self.notify_instances(stamp=3, page=1, form="patch")
        if self.frame == 100:
            return line("DISCOVERY", who=1, stamp=3, page=0, form="broken")
        if self.frame == 120:
            text = self.register(2, ENDPOINTS + (("e_f", 3, 1, 0),))
            return text + self.notify_instances(stamp=4, page=2, form="whole")
        return ""

    def notify_instances(self, **fields):
        return "".join(line("DISCOVERY", who=who, **fields) for who in INSTANCES)

    def request(self):
        self.number += 1
        who = self.random.choice(list(INSTANCES))
        call = "t/%d" % self.number
        band = self.random.randrange(4)
        patience = SETTINGS["classes.%d.hard-limit" % band]
        fields = {"who": who, "call": call, "org": self.random.randrange(2)}
        fields |= {"patience-left": patience, "band": band}
        fields |= {"terminates-at": self.random.choice((1, 1, 2, 3))}
        if band == 3:
            fields["subject"] = "obj/%d" % self.random.randrange(2)
        if self.number % 17 == 0:
            self.later(100 * MILLISECOND, line("ABORTED", who=who, call=call))
        return line_of("REQUEST", fields)

    def later(self, delay, text):
        self.order += 1
        heapq.heappush(self.due, (self.now + delay, self.order, text))

    def exchange(self, events):
        frame = line("FRAME", moment=self.now) + events + "OVER_TO_YOU\n\n"
        self.script += frame
        self.process.stdin.write(frame)
        self.process.stdin.flush()
        while True:
            text = self.process.stdout.readline().rstrip("\n")
            if text == "YIELD":
                return
            if not text:
                raise AssertionError("the simulator ended in frame %d" % self.frame)
            name, *parts = text.split("\t")
            self.handle_action(name, dict(part.split("=", 1) for part in parts))

    def handle_action(self, name, action):
        if name == "TRY":
            self.settle(action)
        elif name == "SET_TIMER":
            expired = {"who": action["who"], "key-back": action["key-back"]}
            delay = max(0, int(action["moment"]) - self.now)
            self.later(delay, line_of("TIMER", expired))
        elif name == "HEALTH_CHECK":
            reason = 252 if self.frame in OUTAGE else 0
            fields = {"who": action["who"], "endpoint": action["endpoint"]}
            fields |= {"reason": reason, "duration": 20 * MILLISECOND}
            self.later(20 * MILLISECOND, line_of("HEALTH_RESULT", fields))
        elif name == "LISTEN":
            who = action["who"]
            fields = {"who": who, "stamp": 1, "page": 0, "form": "whole"}
            self.later(30 * MILLISECOND, line_of("DISCOVERY", fields))

    def settle(self, action):
        key = action["who"], action["call"]
        hop = self.attempts[key] = self.attempts.get(key, -1) + 1
        destination = {each[0]: each[1] for each in ENDPOINTS}
        failing = self.frame in OUTAGE and destination.get(action["endpoint"], 0) == 1
        failed = self.random.random() < (0.9 if failing else 0.12)
        reason = self.random.choice(FAULTS) if failed else 0
        if failing and failed:
            reason = 252
        took = self.random.choice((20, 60, 110, 300)) * MILLISECOND
        fields = {"who": action["who"], "call": action["call"], "hop": hop}
        fields |= {"endpoint": action["endpoint"], "reason": reason, "duration": took}
        if reason == 0:
            self.over.add(key)
        if reason == 254 and self.random.random() < 0.7:
            fields["hold-ms"] = self.random.choice((150, 400))
        if key in self.over:
            fields["over"] = 1
        if self.random.random() < 0.3:
            fields["pressure"] = "x0:%.2f,x1:%d" % (self.random.random(), 20)
        self.later(took, line_of("SETTLED", fields))


def make(program):
    """Runs the site against a simulator. Returns the script."""
    return Site(program).play()
