"""Operators' requests at the operator address stay in force, whatever happens to the
endpoint list, the state folder and the process."""

import signal
import socket
import threading
import time
import unittest

import rig
from rig import Endpoint, FaultTable, FaultTest, admin_call, toy_server, wait_for

# An answer is due within 1 s; the limit allows for other tests on the same machine.
ANSWER_LIMIT = 5  # s


class OperatorTest(FaultTest):
    def setUp(self):
        super().setUp()
        self.config["admin"] = self.admin

    def call(self, method, path):
        return admin_call(self.admin, method, path, timeout=ANSWER_LIMIT)[0]

    def enter(self, name="a"):
        return self.call("POST", "/maintenance/enter?id=" + name)

    def exit(self, name="a"):
        return self.call("POST", "/maintenance/exit?id=" + name)

    def start(self, **options):
        forwarder = super().start(**options)

        def serves():
            try:
                return self.call("GET", "/status") == 200
            except OSError:
                return False

        wait_for("the operator address", serves)
        return forwarder

    def assert_excluded(self, name="a", messages=10):
        before = self.calls_to(name)
        for _ in range(messages):
            self.put_accepted()
        self.assert_all_end()
        self.assertEqual(self.calls_to(name), before)

    def assert_a_serves(self):
        """Checks that `a` gets calls. It is cold after its return, so `b` is excluded
        until `a` is called."""
        self.assertEqual(self.enter("b"), 200)
        self.settle("a")
        self.assertEqual(self.exit("b"), 200)


class CallTest(OperatorTest):
    def test_each_path_accepts_only_its_method(self):
        self.start()
        for method, path, status in (
            ("GET", "/status", 200),
            ("POST", "/status", 405),
            ("GET", "/metrics", 200),
            ("GET", "/standby", 405),
            ("GET", "/maintenance/enter?id=a", 405),
            ("POST", "/maintenance/enter", 400),
            ("POST", "/maintenance/enter?id=", 400),
            ("POST", "/maintenance/enter?id=%zz", 400),
            ("POST", "/maintenance/enter?id=nobody", 404),
            ("POST", "/maintenance/exit?id=nobody", 404),
            ("POST", "/elsewhere", 404),
            ("POST", "/maintenance/enter?x=1&id=%61", 200),
            ("POST", "/maintenance/exit?id=a", 200),
            ("POST", "/maintenance/exit?id=a", 200),
        ):
            with self.subTest(method=method, path=path):
                self.assertEqual(self.call(method, path), status)

    def raw(self, data):
        with socket.create_connection(self.admin.split(":"), timeout=rig.LIMIT) as line:
            line.sendall(data)
            answer = b""
            while part := line.recv(4096):
                answer += part
            return answer

    def test_bad_requests_get_a_clear_error(self):
        self.start()
        for data, status in (
            (b"GET\r\n\r\n", b"400"),
            (b"GET /status\r\n\r\n", b"400"),
            (b"get /status HTTP/1.1\r\n\r\n", b"400"),
            (b"GET status HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /status HTTP/1.1\r\nno colon\r\n\r\n", b"400"),
            (b"POST /standby HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"400"),
            (b"POST /standby HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", b"413"),
            (b"GET /" + b"x" * 20000, b"431"),
            (b"\x00\xff\r\n\r\n", b"400"),
        ):
            with self.subTest(data[:40]):
                self.assertEqual(self.raw(data).split()[1], status)
        self.assertEqual(self.call("GET", "/status"), 200)
        self.assertEqual(self.ping(), "+PONG")

    def test_slow_callers_block_nobody_and_are_disconnected(self):
        self.start()
        slow = [
            socket.create_connection(self.admin.split(":"), timeout=rig.LIMIT)
            for _ in range(6)
        ]
        for line in slow:
            self.addCleanup(line.close)
            line.sendall(b"POST /maintenance/enter?id=a HT")
        for _ in range(5):
            self.assertEqual(self.call("GET", "/status"), 200)
        for line in slow:
            self.assertIn(b" 408 ", line.recv(4096))
        self.assertEqual(self.call("GET", "/status"), 200)

    def test_a_request_in_single_bytes_is_read(self):
        self.start()
        with socket.create_connection(self.admin.split(":"), timeout=rig.LIMIT) as line:
            line.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for byte in b"POST /standby HTTP/1.1\r\nContent-Length: 2\r\n\r\nab":
                line.sendall(bytes([byte]))
            self.assertIn(b" 200 ", line.recv(4096))
        self.assertNotEqual(self.ping(), "+PONG")

    def test_without_the_key_nothing_listens(self):
        del self.config["admin"]
        super(OperatorTest, self).start(environment={"NODE_ADMIN": self.admin})
        with self.assertRaises(OSError):
            self.call("GET", "/status")

    def test_a_second_address_that_is_taken_for_a_moment_is_served_later(self):
        holder = socket.socket()
        holder.bind(tuple([self.admin.split(":")[0], int(self.admin.split(":")[1])]))
        holder.listen()
        super(OperatorTest, self).start()
        self.put_accepted()
        holder.close()

        def serves():
            try:
                return self.call("GET", "/status") == 200
            except OSError:
                return False

        wait_for("the second address", serves)


class StandbyTest(OperatorTest):
    def test_standby_disconnects_clients_and_active_accepts_them_again(self):
        self.start()
        client = toy_server.Client(self.listen, timeout=rig.LIMIT)
        self.assertEqual(client.call("PING"), "+PONG")
        self.assertEqual(self.call("POST", "/standby"), 200)
        self.assertEqual(client.read(), "")  # the idle connection is closed
        self.assertTrue(self.ping().startswith("-"))
        self.assertEqual(self.call("GET", "/status"), 200)
        self.assertEqual(self.call("POST", "/active"), 200)
        self.assertEqual(self.ping(), "+PONG")
        self.put_accepted()
        self.assert_all_end()


class ExclusionTest(OperatorTest):
    def test_an_excluded_endpoint_gets_no_new_messages_until_it_is_back(self):
        self.start()
        self.settle("a")
        self.assertEqual(self.enter(), 200)
        self.assert_excluded()
        self.assertEqual(self.enter(), 200)  # entered twice, exited once
        self.assertEqual(self.exit(), 200)
        self.assert_a_serves()

    def test_waiting_messages_are_not_sent_to_an_excluded_endpoint(self):
        self.set_mode(Endpoint.REJECT)
        self.start()
        for _ in range(10):
            self.put_accepted()
        self.assertEqual(self.enter(), 200)
        before = self.calls_to("a")
        self.set_mode(Endpoint.TAKE)
        self.assert_all_end()
        self.assertEqual(self.calls_to("a"), before)

    def test_messages_whose_endpoints_are_all_excluded_end_with_a_notice(self):
        """This also applies after a restart, and to messages that waited for one of the
        excluded endpoints."""
        self.set_mode(Endpoint.REJECT)
        forwarder = self.start()
        self.put_accepted(left_ms=3000)
        for name in self.endpoints:
            self.assertEqual(self.enter(name), 200)
        self.put_accepted(left_ms=3000)
        forwarder.end()
        self.set_mode(Endpoint.TAKE)
        self.start()
        self.put(left_ms=1500)
        for message in self.accepted:
            wait_for("the notice", lambda: self.notices_of(message))
            self.assertEqual(self.calls_of(message), [])

    def test_lists_do_not_end_an_exclusion(self):
        self.start()
        self.settle("a")
        self.assertEqual(self.enter(), 200)
        for phases in ({}, {"a": "Terminating"}, {}, {"a": "Gone"}, {}):
            self.announce_members(**phases)
            self.assert_excluded(messages=5)
        self.assertEqual(self.exit(), 200)
        self.assert_a_serves()

    def test_an_endpoint_that_was_back_while_it_drained_stays_draining(self):
        self.start()
        self.settle("a")
        self.assertEqual(self.enter(), 200)
        self.announce_members(a="Terminating")
        self.assert_excluded(messages=3)
        self.assertEqual(self.exit(), 200)
        self.assert_excluded(messages=5)  # because of the list now
        self.announce_members()
        self.assert_a_serves()

    def test_a_new_discovery_address_does_not_end_an_exclusion(self):
        forwarder = self.start()
        self.assertEqual(self.enter(), 200)
        other = self.new_stand_in(rig.Discovery)
        other.revision = self.discovery.revision + 1
        other.members = self.members()
        self.discovery = other
        self.config["discovery"] = other.address
        self.write_config()
        forwarder.send_signal(signal.SIGHUP)
        wait_for(
            "the reload",
            lambda: any("configuration reloaded" in line for line in forwarder.log),
        )
        self.assert_excluded()

    def test_an_exclusion_survives_the_process_however_it_ends(self):
        forwarder = self.start()
        self.assertEqual(self.enter(), 200)
        for how in (signal.SIGTERM, signal.SIGKILL, signal.SIGTERM):
            forwarder.end(how)
            forwarder = self.start()
            self.assert_excluded(messages=5)
        self.assertEqual(self.exit(), 200)
        forwarder.end()
        self.start()
        self.assert_a_serves()

    def test_an_exclusion_holds_while_the_folder_fails_and_is_stored_later(self):
        for call in ("open", "pwrite", "fsync", "rename"):
            with self.subTest(call):
                forwarder = self.start()
                rule = self.faults.fail(call, "EIO")
                self.assertEqual(self.enter(), 500)
                self.assertGreater(self.faults.hits(rule), 0)
                self.faults.end()
                self.assert_excluded(messages=3)
                wait_for("the write", lambda: (self.state / "exclusions").exists())
                wait_for(
                    "the id",
                    lambda: '"a"' in (self.state / "exclusions").read_text(),
                )
                forwarder.end()
                forwarder = self.start()
                self.assert_excluded(messages=3)
                self.assertEqual(self.exit(), 200)
                forwarder.end()

    def test_no_call_is_made_while_the_exclusions_are_unknown(self):
        forwarder = self.start()
        self.assertEqual(self.enter(), 200)
        forwarder.end()
        before = self.calls_to("a"), self.calls_to("b")
        self.faults.fail("pread", "EIO")
        self.faults.fail("open", "EIO")
        self.launch()
        wait_for("an answer", lambda: self.ping() == "+PONG")
        for _ in range(3):
            self.put()
        self.assertEqual((self.calls_to("a"), self.calls_to("b")), before)
        self.faults.end()
        self.assert_excluded(messages=5)

    def test_a_process_that_does_not_own_the_folder_does_not_write_the_file(self):
        self.start()
        self.assertEqual(self.enter("a"), 200)
        stored = (self.state / "exclusions").read_bytes()
        without_lock = FaultTable(self.folder / "other-faults")
        without_lock.fail("flock", "ENOLCK")
        self.config["listen"] = self.listen = rig.free_address()
        self.config["admin"] = self.admin = rig.free_address()
        self.start(faults=without_lock)
        self.assertEqual(self.enter("b"), 500)  # in force, but not stored
        self.assertEqual((self.state / "exclusions").read_bytes(), stored)


class KillTest(OperatorTest):
    """Sends SIGKILL at each step of entering and exiting maintenance, in 100 rounds."""

    ROUNDS = 100
    STEPS = [
        (call, how, skip)
        for call in ("open", "pwrite", "fsync", "rename")
        for how in (rig.KILL_BEFORE, rig.KILL_AFTER)
        for skip in (0, 1)
    ] + [("pwrite", rig.KILL_HALFWAY, 0)]

    def try_call(self, request):
        """Returns the status, or None if the process died before it answered."""
        try:
            return request()
        except OSError:
            return None

    def test_an_answered_request_survives_a_kill(self):
        excluded = False
        forwarder = self.start()
        for number in range(self.ROUNDS):
            call, how, skip = self.STEPS[number // 2 % len(self.STEPS)]
            enters = number % 2 == 0
            with self.subTest(number=number, call=call, how=how, skip=skip):
                self.faults.fail(call, how, skip=skip, bytes_moved=5)
                status = self.try_call(self.enter if enters else self.exit)
                self.faults.end()
                if status is not None:
                    self.assertEqual(status, 200)
                    excluded = enters
                forwarder.end()
                forwarder = self.start()
                if status is None:  # either state is possible: request it again
                    self.assertEqual(self.enter() if enters else self.exit(), 200)
                    excluded = enters
                if excluded:
                    self.assert_excluded(messages=2)
                else:
                    self.put_accepted()
                    self.assert_all_end()


class BusyTest(OperatorTest):
    def test_answers_come_while_clients_keep_the_engine_busy(self):
        self.start()
        stop = threading.Event()

        def keep_busy():
            while not stop.is_set():
                self.put()

        clients = [threading.Thread(target=keep_busy, daemon=True) for _ in range(8)]
        for client in clients:
            client.start()
        try:
            for _ in range(20):
                self.assertEqual(self.call("GET", "/status"), 200)
                self.assertEqual(self.enter(), 200)
                time.sleep(0.3)  # the grace period of calls in flight
                before = self.calls_to("a")
                for _ in range(3):
                    self.put()
                self.assertEqual(self.calls_to("a"), before)
                self.assertEqual(self.exit(), 200)
        finally:
            stop.set()
            for client in clients:
                client.join()
        self.assert_all_end()


if __name__ == "__main__":
    unittest.main()
