"""The incident of 2 December 2026 on real processes: docs/incidents.

A process must survive the exit of its log reader and a transient fault at its start. A
new process must not send by the endpoint list of its configuration where discovery has
a newer list.
"""

import os
import signal
import subprocess
import unittest

import rig
from rig import Endpoint, FaultTest, toy_server, wait_for


class LogReaderTest(FaultTest):
    def test_a_process_outlives_the_reader_of_its_log(self):
        forwarder = self.start()
        forwarder.close_log_reader()
        for _ in range(20):  # each ended connection writes a log line
            self.assertEqual(self.ping(), "+PONG")
            self.put_accepted()
        self.assertTrue(forwarder.alive())
        self.assert_all_end()
        self.assertEqual(forwarder.end(signal.SIGTERM), 0)

    def test_a_process_starts_with_a_log_that_nobody_reads(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        forwarder = self.launch(stderr=write_end)
        os.close(write_end)
        self.await_serving(forwarder)
        self.put_accepted()
        self.assert_all_end()
        self.assertEqual(forwarder.end(signal.SIGTERM), 0)

    def test_a_log_on_a_full_disk_or_a_broken_descriptor_is_dropped(self):
        for error in ("ENOSPC", "EIO", "EPIPE", "EBADF", "EAGAIN"):
            with self.subTest(error):
                rule = self.faults.fail("write", error)
                forwarder = self.start()
                self.put_accepted()
                self.assertTrue(forwarder.alive())
                self.assertGreater(self.faults.hits(rule), 0)
                self.faults.end()
                # The log works again: a line reports how many were dropped.
                self.ping()
                wait_for(
                    "the count",
                    lambda: any("log lines dropped" in line for line in forwarder.log),
                )
                self.assert_all_end()  # while the process runs
                forwarder.end()

    def test_files_do_not_reuse_closed_standard_descriptors(self):
        """Otherwise the spool or a connection could get the descriptor number of the
        log and receive its lines."""
        for closed in ("2>&-", "<&- >&- 2>&-"):
            with self.subTest(closed):
                self.assert_spool_is_clean_without(closed)

    def assert_spool_is_clean_without(self, closed):
        variables = {"NODE_ADMIN": ""}
        command = (
            'exec "$0" serve --config "$1" --state "$2" ' + closed,
            rig.PROGRAM,
            str(self.write_config()),
            str(self.state),
        )
        process = subprocess.Popen(
            ["/bin/sh", "-c", *command], env=dict(os.environ, **variables)
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        wait_for("the forwarder", lambda: self.ping() == "+PONG")
        for _ in range(10):
            self.put_accepted()
        self.assert_all_end()
        process.kill()
        process.wait()
        self.assertNotIn(b"connection ended", (self.state / "spool").read_bytes())


class KnownListTest(FaultTest):
    def accept_undelivered(self, count):
        """Returns accepted messages that no endpoint has accepted yet, left by a killed
        process."""
        self.set_mode(Endpoint.REJECT)
        forwarder = self.start()
        undelivered = [self.put_accepted(left_ms=20000) for _ in range(count)]
        forwarder.end()
        self.set_mode(Endpoint.TAKE)
        return undelivered

    def test_restored_messages_avoid_an_endpoint_that_started_to_drain_meanwhile(self):
        for phase in ("Terminating", "Gone"):
            with self.subTest(phase):
                self.announce_members()
                undelivered = self.accept_undelivered(6)
                self.endpoints["a"].delivered.clear()
                self.announce_members(a=phase)
                forwarder = self.start()  # its configuration still lists `a` as ready
                for message in undelivered:
                    wait_for("the call", lambda: "b" in self.calls_of(message))
                self.assertEqual(self.calls_to("a"), 0)
                forwarder.end()

    def test_restored_messages_are_sent_though_discovery_does_not_answer(self):
        undelivered = self.accept_undelivered(3)
        self.config["discovery"] = "127.0.0.1:1"
        self.start()
        for message in undelivered:
            wait_for("a call", lambda: self.calls_of(message))

    def test_lists_over_several_lines_and_in_any_chunks_are_read(self):
        for chunk_bytes in (0, 1, 7, 1000):
            for indent in (2, 0):
                with self.subTest(chunk_bytes=chunk_bytes, indent=indent):
                    self.discovery.indent = indent
                    self.discovery.chunk_bytes = chunk_bytes
                    self.announce_members()
                    forwarder = self.start()
                    self.settle("a")
                    self.announce_members(a="Terminating")
                    wait_for(
                        "the state",
                        lambda: any(
                            "to=draining" in line and "id=a" in line
                            for line in forwarder.log
                        ),
                    )
                    self.assertFalse(
                        [line for line in forwarder.log if "refused" in line]
                    )
                    forwarder.end()


class StartTest(FaultTest):
    """A system call fails a few times during the start."""

    def assert_start_survives(self, call, error, times):
        rule = self.faults.fail(call, error, times=times)
        forwarder = self.start()
        self.assertEqual(self.faults.hits(rule), times)
        self.faults.end()
        self.put_accepted()
        self.assert_all_end()
        forwarder.end()

    def test_a_start_survives_transient_failures(self):
        for call, error in (
            ("socket", "ENFILE"),
            ("socket", "ENOBUFS"),
            ("bind", "EADDRINUSE"),
            ("bind", "EADDRNOTAVAIL"),
            ("listen", "EADDRINUSE"),
            ("epoll_create", "EMFILE"),
            ("epoll_ctl", "ENOMEM"),
            ("eventfd", "EMFILE"),
            ("thread", "EAGAIN"),
        ):
            with self.subTest(call=call, error=error):
                self.assert_start_survives(call, error, times=3)


class RunningTest(FaultTest):
    def test_a_local_failure_is_not_blamed_on_the_endpoint_or_the_client(self):
        """Local failures end no message and no client connection."""
        for call, error in (
            ("socket", "ENFILE"),
            ("connect", "EADDRNOTAVAIL"),
            ("recv", "ENOMEM"),
            ("poll", "ENOMEM"),
            ("getsockopt", "ENOBUFS"),
            ("epoll_ctl", "ENOMEM"),
            ("accept", "ECONNABORTED"),
        ):
            with self.subTest(call=call, error=error):
                forwarder = self.start()
                client = rig.toy_server.Client(self.listen, timeout=rig.LIMIT)
                self.assertEqual(client.call("PING"), "+PONG")
                rule = self.faults.fail(call, error, times=3)
                message, reply = client.put(rig.DESTINATION, "body")
                self.assertEqual(reply, "+OK")
                self.accepted.append(message)
                wait_for(
                    "the fault or the end",
                    lambda: self.faults.hits(rule) == 3 or self.calls_of(message),
                )
                self.assert_all_end()
                self.assertEqual(self.notices_of(message), [])
                self.faults.end()
                self.assertTrue(forwarder.alive())
                client.close()
                forwarder.end()

    def test_waits_that_are_interrupted_repeatedly_use_little_cpu(self):
        forwarder = self.start()
        ticks = os.sysconf("SC_CLK_TCK")

        def cpu_seconds():
            with open("/proc/%d/stat" % forwarder.process.pid) as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / ticks

        # The program gives up a poll that fails 50 times in a row.
        for call, times in (("epoll_wait", 200), ("poll", 40)):
            # Without a connection the poll loop waits indefinitely and makes no call.
            client = toy_server.Client(self.listen, timeout=rig.LIMIT)
            self.assertEqual(client.call("PING"), "+PONG")
            rule = self.faults.fail(call, "EINTR", times=times)
            started = cpu_seconds()
            wait_for("the interruptions", lambda: self.faults.hits(rule) == times)
            self.assertLess(cpu_seconds() - started, 0.2)
            client.close()
        self.assertEqual(self.ping(), "+PONG")


if __name__ == "__main__":
    unittest.main()
