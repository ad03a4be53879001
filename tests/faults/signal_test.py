"""Signals at any moment, and a configuration that cannot be read."""

import json
import os
import signal
import unittest

from rig import FaultTest, wait_for


class SignalTest(FaultTest):
    def test_signals_other_than_shutdown_do_not_end_the_process(self):
        forwarder = self.start()
        for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE, signal.SIGHUP):
            forwarder.send_signal(number)
            self.put_accepted()
            self.assertTrue(forwarder.alive(), number)
        self.assert_all_end()

    def test_reloads_during_a_start_do_not_end_it(self):
        """The start waits for its listener, so the signals arrive before it serves."""
        rule = self.faults.fail("bind", "EADDRINUSE")
        forwarder = self.launch()
        wait_for("the start", lambda: self.faults.hits(rule) > 0)
        for _ in range(5):
            forwarder.send_signal(signal.SIGHUP)
        self.faults.end()
        self.await_serving(forwarder)
        self.put_accepted()
        self.assert_all_end()

    def test_a_configuration_that_cannot_be_read_is_read_again_later(self):
        forwarder = self.start(environment={"FAULT_FOLDER": str(self.folder)})
        other = self.new_stand_in(type(self.discovery))
        other.revision = 7
        other.members = self.members(a="Terminating")
        self.config["discovery"] = other.address
        self.write_config()
        rule = self.faults.fail("pread", "EIO")
        forwarder.send_signal(signal.SIGHUP)
        wait_for("some tries", lambda: self.faults.hits(rule) > 2)
        self.faults.end()
        wait_for(
            "the new address",
            lambda: any("to=draining" in line for line in forwarder.log),
        )

    def test_an_exit_logs_its_reason_and_has_a_distinct_status(self):
        """The status numbers come from sysexits.h."""
        for name, change, status in (
            ("bad file", lambda config: config.pop("settings"), 78),
            ("bad address", lambda config: config.update(listen="nowhere"), 78),
        ):
            with self.subTest(name):
                config = json.loads(json.dumps(self.config))
                change(self.config)
                forwarder = self.launch()
                self.assertEqual(forwarder.process.wait(timeout=20), status)
                forwarder.reader.join(timeout=20)
                self.assertIn("process exits reason=", forwarder.log[-1])
                self.config = config
        forwarder = self.start()
        self.assertEqual(forwarder.end(signal.SIGTERM), os.EX_OK)
        forwarder.reader.join(timeout=20)
        self.assertIn("reason=shutdown complete status=0", forwarder.log[-1])


if __name__ == "__main__":
    unittest.main()
