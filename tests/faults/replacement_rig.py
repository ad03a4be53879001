"""Endpoints that request waits or return cold, and processes that replace each other
meanwhile."""

import signal
import threading
import time

import rig
from load_judge import ColdRules, Wait, calls_in_waits, windows_over_budget
from rig import Endpoint, FaultTable, FaultTest, wait_for

WAITING = "waiting for the state folder"
RATE = 50.0  # calls per second of the destination's capacity; `size` in its list
SUBMIT_INTERVAL_S = 0.02
SEND_LEFT_MS = 20000


class TimedEndpoint(Endpoint):
    """Records the arrival times of calls and the waits that it requested. Until
    `opens_at` it answers 429 with the remaining time; in mode HOLD it does so once
    released."""

    def __init__(self):
        super().__init__()
        self.arrivals = []
        self.waits = []
        self.opens_at = 0.0
        self.answer = self.answer_by_time

    def answer_by_time(self, call):
        self.arrivals.append(time.monotonic())
        if self.mode == self.HOLD:
            self.hung.append(call["id"])
            self.released.wait(timeout=rig.LIMIT)
        now = time.monotonic()
        if now < self.opens_at:
            self.waits.append(Wait(now, self.opens_at))
            return 429, {"Wait-Ms": int((self.opens_at - now) * 1000)}
        return self.answer_by_mode(call)


class SteadyClient:
    """A client that submits messages at a constant rate on persistent connections."""

    def __init__(self, test, interval_s=SUBMIT_INTERVAL_S):
        self.test = test
        self.interval_s = interval_s
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.is_set():
            try:
                client = rig.toy_server.Client(self.test.listen, timeout=5)
                while not self.stopping.wait(self.interval_s):
                    message, reply = client.put(
                        rig.DESTINATION, "body", left_ms=SEND_LEFT_MS
                    )
                    if reply == "+OK":
                        self.test.accepted.append(message)
                    elif not reply:
                        break
                client.close()
            except OSError:
                time.sleep(self.interval_s)

    def stop(self):
        self.stopping.set()
        self.thread.join()


class ReplacementTest(FaultTest):
    """Runs processes one after another on one state folder and checks their joint
    load."""

    def setUp(self):
        super().setUp()
        for name in "ab":
            self.endpoints[name] = self.new_stand_in(TimedEndpoint)
        self.announce_members()
        self.config["known"]["members"] = self.members()
        self.rules = ColdRules.of_settings(self.config["settings"], RATE)
        self.tables = 0

    # ---- processes ----

    def own_faults(self):
        self.tables += 1
        return FaultTable(self.folder / ("faults-%d" % self.tables))

    def start_process(self):
        faults = self.own_faults()
        process = self.start(faults=faults)
        process.faults = faults
        return process

    def start_successor(self):
        """Starts a second process, which waits for the first one to end."""
        faults = self.own_faults()
        process = self.launch(faults=faults)
        process.faults = faults
        wait_for(
            "a second process",
            lambda: any(WAITING in line for line in process.log),
        )
        return process

    def replace(self, process, how=signal.SIGTERM):
        """Ends the process; returns its successor once that serves."""
        successor = self.start_successor()
        process.end(how)
        self.await_serving(successor)
        return successor

    # ---- endpoint faults ----

    def reject_until(self, opens_at):
        for endpoint in self.endpoints.values():
            endpoint.opens_at = opens_at

    def requested_waits(self):
        return [w for e in self.endpoints.values() for w in list(e.waits)]

    def arrivals(self):
        return [at for e in self.endpoints.values() for at in list(e.arrivals)]

    def await_log(self, process, text, count=1):
        wait_for(
            text,
            lambda: sum(text in line for line in list(process.log)) >= count,
        )

    def fail_until_open(self, process):
        """Makes the destination fail until the process has opened all its breakers."""
        self.set_mode(Endpoint.REJECT)
        self.await_log(process, "breaker open", len(self.endpoints))

    # ---- checks ----

    def assert_waits_kept(self):
        broken = calls_in_waits(self.arrivals(), self.requested_waits())
        first = broken[:1]
        self.assertFalse(broken, "%d calls during a wait: %s" % (len(broken), first))

    def assert_within_cold_budget(self, returned_at):
        over = windows_over_budget(self.arrivals(), returned_at, self.rules)
        most = max(over, key=lambda window: window[1] / window[2], default=None)
        self.assertIsNone(most, "(seconds after the return, calls, budget)")
