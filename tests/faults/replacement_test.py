"""Waits and warm-ups that one process knows of bind the process that replaces it."""

import signal
import time
import unittest

from load_judge import calls_in_waits
from replacement_rig import SteadyClient, ReplacementTest
from rig import Endpoint, admin_call, wait_for

WAIT_S = 8.0  # outlasts a graceful shutdown of 3.2 s and the next start
SHORT_WAIT_S = 4.0  # for replacements after SIGKILL, which take no time
MESSAGES = 12
# A wait binds once this time has passed since it was requested.
WAIT_BINDS_AFTER_S = 0.1
FORGET_AFTER_S = 1  # after an endpoint's removal: maximum lifetime of a message
HOUSEKEEPING_S = 1.5  # interval within which removed endpoints are checked
NEW_VERSION_FILE = "conditions"


class WaitTest(ReplacementTest):
    def begin_wait(self, wait_s, process=None):
        """Returns a process that was asked to wait and has messages waiting."""
        process = process or self.start_process()
        self.put_accepted()
        self.assert_all_end()
        self.opens_at = time.monotonic() + wait_s
        self.reject_until(self.opens_at)
        for _ in range(MESSAGES):
            self.put_accepted()
        wait_for("a wait", self.requested_waits)
        return process

    def await_binding(self):
        """Waits until all requested waits bind."""
        requested_at = max(wait.requested_at for wait in self.requested_waits())
        wait_for(
            "the moment from which the wait binds",
            lambda: time.monotonic() > requested_at + WAIT_BINDS_AFTER_S,
        )

    def kill(self, process):
        """Kills the process once the wait binds; returns the process that takes
        over."""
        successor = self.start_successor()
        self.await_binding()
        process.end(signal.SIGKILL)
        self.await_serving(successor)
        return successor

    def await_end_of_wait(self):
        """Waits until the wait ends, and for the current process to deliver."""
        self.assertLess(time.monotonic(), self.opens_at, "the wait ended too early")
        wait_for("the end of the wait", lambda: time.monotonic() > self.opens_at)
        self.assert_all_end()

    def assert_kept_to_its_end(self):
        self.await_end_of_wait()
        self.assert_waits_kept()

    # Guards against report 115bff: the process that takes over called a destination
    # during a wait that the destination had requested from its predecessor.
    def test_a_wait_binds_the_process_that_takes_over(self):
        self.replace(self.begin_wait(WAIT_S))
        self.assert_kept_to_its_end()

    # Guards against a wait that is only handed over by a graceful shutdown.
    def test_a_wait_binds_after_sigkill(self):
        self.kill(self.begin_wait(SHORT_WAIT_S))
        self.assert_kept_to_its_end()

    # Guards against a wait that is handed over only once.
    def test_a_wait_binds_the_successor_of_a_successor(self):
        successor = self.kill(self.begin_wait(SHORT_WAIT_S))
        self.kill(successor)
        self.assert_kept_to_its_end()

    # Guards against a second process that damages the state that it is to take over.
    def test_a_wait_survives_a_second_process_that_dies_while_it_waits(self):
        process = self.begin_wait(SHORT_WAIT_S)
        for how in (signal.SIGKILL, signal.SIGTERM):
            self.start_successor().end(how)
        self.kill(process)
        self.assert_kept_to_its_end()

    # Guards against a wait being lost when its endpoint leaves the list.
    def test_a_wait_binds_while_its_endpoint_leaves_the_list_and_returns(self):
        self.config["settings"]["family-info"]["own-limits"] = [True, True]
        process = self.begin_wait(SHORT_WAIT_S)
        wait_for(
            "a wait of each", lambda: all(e.waits for e in self.endpoints.values())
        )
        self.announce_members(a="Gone", b="Gone")
        successor = self.kill(process)
        self.announce_members()
        self.await_log(successor, "condition restored endpoint", 2)
        self.assert_kept_to_its_end()

    # Guards against a wait that ends because its endpoint was unlisted for longer than
    # any message lives, and is treated as a new one when it is listed again.
    def test_a_wait_binds_though_its_endpoint_was_forgotten_meanwhile(self):
        self.config["settings"]["family-info"]["own-limits"] = [True, True]
        self.config["settings"]["classes"][0]["hard-limit"] = FORGET_AFTER_S * 10**9
        process = self.start_process()
        self.opens_at = time.monotonic() + WAIT_S
        self.reject_until(self.opens_at)
        for _ in range(MESSAGES):
            self.put()
        wait_for(
            "a wait of each", lambda: all(e.waits for e in self.endpoints.values())
        )
        self.announce_members(a="Gone", b="Gone")
        self.assert_all_end()
        gone_at = time.monotonic()
        wait_for(
            "the endpoints to be forgotten",
            lambda: time.monotonic() > gone_at + FORGET_AFTER_S + HOUSEKEEPING_S,
        )
        self.announce_members()
        for name in self.endpoints:  # each is treated as a new endpoint
            self.await_log(process, "endpoint listed id=" + name, 2)
        for _ in range(MESSAGES):
            self.put()
        self.assert_kept_to_its_end()

    # Guards against losing a wait when the folder fails or is full as the wait is
    # requested, and has recovered when the next process starts.
    def test_a_wait_binds_though_the_folder_fails_when_it_is_requested(self):
        for error in ("EIO", "ENOSPC"):
            with self.subTest(error):
                process = self.start_process()
                self.set_mode(Endpoint.HOLD)
                for _ in range(MESSAGES):
                    self.put_accepted()
                wait_for("calls", lambda: any(e.hung for e in self.endpoints.values()))
                for call in ("pwrite", "open", "ftruncate", "rename", "fsync"):
                    process.faults.fail(call, error)
                self.opens_at = time.monotonic() + SHORT_WAIT_S
                self.reject_until(self.opens_at)
                self.set_mode(Endpoint.TAKE)
                for endpoint in self.endpoints.values():
                    endpoint.released.set()
                wait_for("a wait", self.requested_waits)
                successor = self.kill(process)
                self.assert_kept_to_its_end()
                successor.end()
                for endpoint in self.endpoints.values():
                    endpoint.released.clear()
                    endpoint.hung.clear()
                    endpoint.waits.clear()

    # Guards against sending the whole backlog at once, and against losing messages,
    # when the predecessor left no conditions or damaged ones.
    def test_a_missing_or_damaged_record_costs_one_call_to_each_endpoint(self):
        def damage(path):
            stored = bytearray(path.read_bytes())
            for offset in range(0, len(stored), 64):
                stored[offset + 40] ^= 0xFF
            path.write_bytes(stored)

        corruptions = {
            "an earlier version": lambda path: path.unlink(),
            "damaged": damage,
            "cut off": lambda path: path.write_bytes(path.read_bytes()[:100]),
        }
        for name, corrupt in corruptions.items():
            with self.subTest(name):
                process = self.begin_wait(SHORT_WAIT_S)
                self.await_binding()
                process.end(signal.SIGKILL)
                corrupt(self.state / NEW_VERSION_FILE)
                requested = [
                    w for w in self.requested_waits() if w.until == self.opens_at
                ]
                successor = self.start_process()
                self.await_end_of_wait()
                broken = {at for at, _ in calls_in_waits(self.arrivals(), requested)}
                self.assertLessEqual(len(broken), len(self.endpoints))
                self.assertLess(len(broken), MESSAGES)
                successor.end()


class ColdTest(ReplacementTest):
    def play_return(self, change):
        """Plays an outage, the return, and `change` once the process knows of the
        return."""
        process = self.start_process()
        client = SteadyClient(self)
        self.addCleanup(client.stop)
        self.fail_until_open(process)
        returned_at = time.monotonic()
        self.set_mode(Endpoint.TAKE)
        self.await_log(process, "breaker recovering")
        change(process)
        self.judge_window(client, returned_at)

    def judge_window(self, client, returned_at):
        """Checks the load until a full window after now has passed."""
        changed_at = time.monotonic()
        wait_for(
            "a full window after the change",
            lambda: time.monotonic() > changed_at + self.rules.window_s,
        )
        client.stop()
        self.assertLess(changed_at - returned_at, self.rules.warm_after_s)
        self.assert_within_cold_budget(returned_at)

    # Guards against a check that accepts or rejects every load.
    def test_a_return_without_a_change_of_process_is_within_the_budget(self):
        self.play_return(lambda process: None)

    # Guards against report 115bff: a destination that came back cold got the full load
    # from the process that took over, and collapsed again.
    def test_a_cold_destination_gets_reduced_load_after_a_takeover(self):
        self.play_return(self.replace)

    # Guards against endpoints that come back cold from maintenance and get the full
    # load from the process that takes over.
    def test_a_return_from_maintenance_gets_reduced_load_after_a_takeover(self):
        self.config["admin"] = self.admin
        process = self.start_process()
        client = SteadyClient(self)
        self.addCleanup(client.stop)
        wait_for("deliveries", lambda: len(self.arrivals()) > 10)

        def call_operators(path):
            for name in self.endpoints:
                wait_for(
                    path,
                    lambda: admin_call(self.admin, "POST", path + "?id=" + name)[0]
                    == 200,
                )

        call_operators("/maintenance/enter")
        accepted = len(self.accepted)
        wait_for("a backlog", lambda: len(self.accepted) > accepted + 40)
        returned_at = time.monotonic()
        call_operators("/maintenance/exit")
        wait_for("a call", lambda: max(self.arrivals()) > returned_at)
        self.replace(process, signal.SIGKILL)
        self.judge_window(client, returned_at)

    # Guards against a return that is only handed over by a graceful shutdown.
    def test_a_cold_destination_gets_reduced_load_after_sigkill(self):
        self.play_return(lambda process: self.replace(process, signal.SIGKILL))


if __name__ == "__main__":
    unittest.main()
