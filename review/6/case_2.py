"""Clients send many commands at once to a partner whose first endpoint the late list
has not named yet; the forwarder reads them all and closes behind the sixteenth."""

import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

from standins import Agent, Client, Endpoint, Forwarder  # noqa: E402
from standins import play, split, words  # noqa: E402

OLD_PARTNER, NEW_PARTNER = 3, 9
LATE = 6.0  # seconds that the list comes late; the pages have 2.3 to 9.3 s and more
CLUMP = 40  # messages; as many as the new partner takes in 1.6 to 3.1 s
PATIENCE = 0.4  # s that a client waits for an answer


class ManyAtOnce:
    """A client that keeps its connection and sends a clump's commands in one write.
    What is closed on with no answer it sends once more, on a new connection."""

    def __init__(self, record, address):
        self.record = record
        self.address = address

    def hand_in(self, clump):
        """Returns the ids that got no answer, though they were written twice."""
        ids = [f"d{NEW_PARTNER}-{clump}-{number}" for number in range(1, CLUMP + 1)]
        first = f"d{OLD_PARTNER}-{clump}-"
        unanswered = self.send(first + "0", ids)
        if unanswered:
            unanswered = self.send(first + "1", unanswered)
        return unanswered

    def send(self, first, ids):
        connection = socket.create_connection(split(self.address), PATIENCE)
        connection.settimeout(PATIENCE)
        # The connection has had its first request before, so that it is no new one.
        connection.sendall(self.command(first, OLD_PARTNER))
        self.record(f"client: {first}: {connection.recv(4096)!r}")
        connection.sendall(b"".join(self.command(i, NEW_PARTNER) for i in ids))
        self.record(f"client: {len(ids)} commands in one write, {ids[0]} to {ids[-1]}")
        answers = b""
        closed = False
        try:
            while answers.count(b"\r\n") < len(ids) and not closed:
                part = connection.recv(65536)
                closed = part == b""
                answers += part
        except socket.timeout:
            self.record("client: leaves after 400 ms with no answer")
        except ConnectionError as error:
            closed = True
            self.record(f"client: {error}")
        connection.close()
        lines = answers.decode().split("\r\n")[:-1]
        for message, line in zip(ids, lines):
            self.record(f"client: {message}: {line}")
        unanswered = ids[len(lines) :] if closed else []
        if closed:
            self.record(f"client: the forwarder closed with no answer to {unanswered}")
        return unanswered

    @staticmethod
    def command(message, destination):
        fields = f"c=event,t=t1,d=8000,k=key-{message},dest={destination}"
        return words("MSG.PUT", "0" * 16, message, fields, b"hello")


def others(record, address, stop):
    client = Client(record, address)
    number = 0
    while not stop.is_set():
        number += 1
        fields = f"c=event,t=t1,d=8000,k=other{number},dest={OLD_PARTNER}"
        client.put(f"other-{number:06d}", fields)
        time.sleep(0.2)
    client.close()


def case(record, folder, trouble):
    old = Endpoint(record, "s-old", OLD_PARTNER)
    new = Endpoint(record, "s-new", NEW_PARTNER)
    agent = Agent(record, [old.member()], revision=41)
    known = {"revision": 41, "complete": True, "members": [old.member()]}
    forwarder = Forwarder(record, folder, known, agent.address)
    stop = threading.Event()
    lost = []
    try:
        forwarder.start()
        forwarder.await_ready()
        arguments = (record, forwarder.listen, stop)
        threading.Thread(target=others, args=arguments, daemon=True).start()
        time.sleep(1)
        record("platform: the partner's first endpoint, s-new, runs")
        listed_at = time.monotonic() + (LATE if trouble else 0)
        listed = False
        until = time.monotonic() + LATE + 3
        clump = 0
        while time.monotonic() < until:
            if not listed and time.monotonic() >= listed_at:
                agent.push([new.member()])
                listed = True
                time.sleep(0.5)
            clump += 1
            lost += ManyAtOnce(record, forwarder.listen).hand_in(clump)
            time.sleep(1)
    finally:
        stop.set()
        forwarder.end()
    return [
        f"{message}: closed on with no answer, also when sent again" for message in lost
    ]


if __name__ == "__main__":
    play(case, HERE / "record.txt")
