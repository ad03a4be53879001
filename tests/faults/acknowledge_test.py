"""The acknowledgement of an accepted message, for clients that disconnect near it.

Once a client has read a complete `+OK`, the message must end. A client that still reads
gets an answer to each command that was read, even if it has closed its sending side.
"""

import socket
import struct
import unittest
import uuid

import rig
import toy_server
from rig import FaultTest, wait_for

# The TCP states after the peer has acknowledged our FIN: FIN_WAIT2, and TIME_WAIT and
# CLOSE once the peer has closed its side as well.
CONFIRMED_STATES = (5, 6, 7)
LEFT_MS = 20000


def end_sending(client):
    """Half-closes the connection and waits until the forwarder's system knows it."""
    client.socket.shutdown(socket.SHUT_WR)

    def is_confirmed():
        info = client.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] in CONFIRMED_STATES

    wait_for("the acknowledgement of our FIN", is_confirmed)


def reset(client):
    # On, for 0 s: close sends a reset instead of a FIN.
    linger = struct.pack("ii", 1, 0)
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.close()


def read_all(client):
    """Returns the lines of all replies up to the end of the connection."""
    try:
        return client.file.read().decode().splitlines()
    except ConnectionResetError:
        return ["reset"]


class AcknowledgeTest(FaultTest):
    def setUp(self):
        super().setUp()
        self.config["admin"] = rig.free_address()

    def connect(self):
        client = toy_server.Client(self.listen, timeout=rig.LIMIT)
        self.addCleanup(client.close)
        return client

    def send_put(self, client):
        """Sends one command and returns the message's id."""
        message = uuid.uuid4().hex[:16]
        fields = "c=plan-event,t=acme,d=%d,k=%s,dest=%d"
        fields %= (LEFT_MS, uuid.uuid4().hex[:16], rig.DESTINATION)
        client.send("MSG.PUT", "0" * 16, message, fields, "body")
        return message

    def record_reply(self, message, reply):
        """Checks the reply. Returns whether it accepts the message, and records it
        then."""
        self.assertRegex(reply, r"^(\+OK|-BUSY( \d+)?)$", message)
        if reply == "+OK":
            self.accepted.append(message)
        return reply == "+OK"

    def assert_accepted_end(self):
        self.assert_all_end()
        self.await_none_in_flight()
        self.faults.end()


class HalfClosedTest(AcknowledgeTest):
    """Clients that half-close right after the command and then read the answer."""

    def assert_not_delivered(self, messages):
        """Checks that refused messages were not delivered; accepted ones have ended."""
        self.await_none_in_flight()
        for message in messages:
            self.assertEqual(self.calls_of(message), [])

    # Guards against a connection that ends without an answer to a command that was
    # read.
    def test_a_client_that_ends_its_sending_gets_an_answer(self):
        self.start()
        refused = []
        for _ in range(20):
            client = self.connect()
            message = self.send_put(client)
            end_sending(client)
            if not self.record_reply(message, client.read()):
                refused.append(message)
            self.assertEqual(client.read(), "")
        self.assert_accepted_end()
        self.assert_not_delivered(refused)

    # Guards against the same failure when the client half-closes while the message is
    # being recorded.
    def test_a_client_that_ends_its_sending_during_the_record_gets_an_answer(self):
        self.start()
        held = self.faults.fail("pwrite", rig.HOLD_BEFORE)
        client = self.connect()
        message = self.send_put(client)
        wait_for("the record", lambda: self.faults.hits(held) > 0)
        end_sending(client)
        self.faults.end()
        accepted = self.record_reply(message, client.read())
        self.assert_accepted_end()
        self.assert_not_delivered([] if accepted else [message])

    # Guards against leaving the commands after the first one without an answer.
    def test_each_of_several_commands_gets_an_answer(self):
        self.start()
        held = self.faults.fail("pwrite", rig.HOLD_BEFORE)
        client = self.connect()
        messages = [self.send_put(client) for _ in range(4)]
        client.send("PING")
        wait_for("the first record", lambda: self.faults.hits(held) > 0)
        end_sending(client)
        self.faults.end()
        replies = read_all(client)
        self.assertEqual(len(replies), 5, replies)
        refused = [m for m, r in zip(messages, replies) if not self.record_reply(m, r)]
        self.assertEqual(replies[-1], "+PONG")
        self.assert_accepted_end()
        self.assert_not_delivered(refused)

    def test_a_connection_whose_state_cannot_be_queried_gets_an_answer(self):
        self.start()
        for error in ("ENOBUFS", "EINVAL", "ENOMEM"):
            with self.subTest(error):
                rule = self.faults.fail("getsockopt", error)
                client = self.connect()
                message = self.send_put(client)
                end_sending(client)
                self.record_reply(message, client.read())
                self.assertGreater(self.faults.hits(rule), 0)
                self.assert_accepted_end()


class LeavingTest(AcknowledgeTest):
    """Clients that disconnect as soon as they have read `+OK`."""

    def leave_after_reply(self, leave):
        self.start()
        for _ in range(20):
            client = self.connect()
            message = self.send_put(client)
            accepted = self.record_reply(message, client.read())
            leave(client)
            self.assertTrue(accepted)
        self.assert_accepted_end()

    def leave_before_the_send_returns(self, leave):
        """The forwarder's send returns only after the client has disconnected."""
        self.start()
        for _ in range(5):
            client = self.connect()
            held = self.faults.fail("send", rig.HOLD_AFTER, times=1)
            message = self.send_put(client)
            self.assertTrue(self.record_reply(message, client.read()))
            self.assertEqual(self.faults.hits(held), 1)
            leave(client)
            self.faults.end()
            self.assert_accepted_end()

    def test_a_client_that_closes_after_its_answer(self):
        self.leave_after_reply(toy_server.Client.close)

    def test_a_client_that_resets_after_its_answer(self):
        self.leave_after_reply(reset)

    def test_a_client_that_closes_before_the_send_returns(self):
        self.leave_before_the_send_returns(toy_server.Client.close)

    def test_a_client_that_resets_before_the_send_returns(self):
        self.leave_before_the_send_returns(reset)

    def test_a_client_that_leaves_with_its_answers_unread(self):
        self.start()
        for leave in (toy_server.Client.close, reset):
            for commands in (1, 4):
                with self.subTest(leave=leave.__name__, commands=commands):
                    client = self.connect()
                    for _ in range(commands):
                        self.send_put(client)
                    leave(client)
                    self.put_accepted()
                    self.assert_accepted_end()

    def test_pipelined_commands_of_a_client_that_leaves_after_the_first_answers(self):
        self.start()
        for leave in (toy_server.Client.close, reset):
            for read in range(1, 5):
                with self.subTest(leave=leave.__name__, read=read):
                    client = self.connect()
                    messages = [self.send_put(client) for _ in range(4)]
                    for message in messages[:read]:
                        self.record_reply(message, client.read())
                    leave(client)
                    self.assert_accepted_end()


class FailingReplyTest(AcknowledgeTest):
    """The system calls that send the reply fail."""

    def test_a_reply_that_is_written_in_parts(self):
        self.start()
        self.faults.fail("send", rig.SHORT, bytes_moved=1)
        for commands in (1, 4):
            with self.subTest(commands=commands):
                client = self.connect()
                messages = [self.send_put(client) for _ in range(commands)]
                for message in messages:
                    self.assertTrue(self.record_reply(message, client.read()))
        self.assert_accepted_end()

    def test_a_reply_that_fails_for_a_moment(self):
        self.start()
        for error in ("EINTR", "EAGAIN", "ENOBUFS", "ENOMEM"):
            for leave in (toy_server.Client.close, reset, end_sending):
                with self.subTest(error=error, leave=leave.__name__):
                    rule = self.faults.fail("send", error, times=3)
                    client = self.connect()
                    messages = [self.send_put(client) for _ in range(2)]
                    for message in messages:
                        self.assertTrue(self.record_reply(message, client.read()))
                    leave(client)
                    self.assertGreater(self.faults.hits(rule), 0)
                    self.assert_accepted_end()

    def test_a_reply_that_breaks_off_is_never_completed(self):
        """Part of it was written: the client must not read a complete `+OK`."""
        self.start()
        for error in ("EPIPE", "ECONNRESET", "ENOBUFS"):
            for part in (0, 1, 4):
                with self.subTest(error=error, part=part):
                    if part:
                        self.faults.fail("send", rig.SHORT, bytes_moved=part, times=1)
                    rule = self.faults.fail("send", error)
                    client = self.connect()
                    message = self.send_put(client)
                    reply = client.file.read().decode()
                    self.faults.end()
                    self.assertGreater(self.faults.hits(rule), 0)
                    self.assertEqual(reply, "+OK\r\n"[:part])
                    self.await_none_in_flight()
                    self.assertEqual(self.calls_of(message), [])


if __name__ == "__main__":
    unittest.main()
