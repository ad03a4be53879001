"""What one process was told by endpoints binds the one that replaces it."""

import signal
import time
import unittest

from replacement_rig import Feed, ReplacementTest
from rig import Endpoint, wait_for

WAIT_S = 8.0  # reaches beyond a graceful shutdown of 3.2 s and the next start
MESSAGES = 12
KILL_BEHIND_WAIT_S = 0.1  # a wait binds from then on


class WaitTest(ReplacementTest):
    def begin_wait(self):
        """A process that was told to wait, with messages that wait for that."""
        process = self.start_process()
        self.put_accepted()
        self.assert_all_end()
        opens_at = time.monotonic() + WAIT_S
        self.shut_until(opens_at)
        for _ in range(MESSAGES):
            self.put_accepted()
        wait_for("a wait", self.waits_told)
        return process, opens_at

    def assert_kept_to_its_end(self, opens_at):
        """The wait ends under the process that serves now."""
        self.assertLess(time.monotonic(), opens_at, "the wait was over before")
        wait_for("the end of the wait", lambda: time.monotonic() > opens_at)
        self.assert_all_end()
        self.assert_waits_kept()

    # Guards against the report 115bff: a destination is called by the process that
    # takes over, in a wait that it had told the one before.
    def test_a_wait_binds_the_process_that_takes_over(self):
        process, opens_at = self.begin_wait()
        self.replace(process)
        self.assert_kept_to_its_end(opens_at)

    # Guards against a wait that only a graceful shutdown hands over.
    def test_a_wait_binds_behind_sigkill(self):
        process, opens_at = self.begin_wait()
        told_at = self.waits_told()[-1].told_at
        successor = self.start_beside()
        wait_for(
            "the moment from which the wait binds",
            lambda: time.monotonic() > told_at + KILL_BEHIND_WAIT_S,
        )
        process.end(signal.SIGKILL)
        self.await_serving(successor)
        self.assert_kept_to_its_end(opens_at)


class ColdTest(ReplacementTest):
    def play_return(self, change):
        """An outage, the return, and a change of process once the return is known."""
        process = self.start_process()
        feed = Feed(self)
        self.addCleanup(feed.stop)
        self.fail_until_open(process)
        returned_at = time.monotonic()
        self.set_mode(Endpoint.TAKE)
        self.await_log(process, "breaker recovering")
        change(process)
        changed_at = time.monotonic()
        wait_for(
            "a whole window behind the change",
            lambda: time.monotonic() > changed_at + self.rules.window_s,
        )
        feed.stop()
        self.assertLess(changed_at - returned_at, self.rules.warm_after_s)
        self.assert_within_cold_budget(returned_at)

    # Guards against a judge that would accept or reject any load.
    def test_a_return_without_a_change_of_process_is_within_the_budget(self):
        self.play_return(lambda process: None)

    # Guards against the report 115bff: a destination that has come back cold gets the
    # full load from the process that takes over, and falls again.
    def test_a_cold_destination_is_spared_by_the_process_that_takes_over(self):
        self.play_return(self.replace)

    # Guards against a return that only a graceful shutdown hands over.
    def test_a_cold_destination_is_spared_behind_sigkill(self):
        self.play_return(lambda process: self.replace(process, signal.SIGKILL))


if __name__ == "__main__":
    unittest.main()
