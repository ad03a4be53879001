"""Records the datagrams that a fleet member sends to its peers.

The member n0 starts from a copy of its stored folder. This program binds the addresses
of n1 and n2 and sends frames on their behalf. A frame consists of its length, a
version, the kind, three names (fleet, sender, receiver), the sender's identity and
incarnation, a body that depends on the kind, and an HMAC-SHA256 with the fleet's key.
Numbers are big-endian.
"""

import concurrent.futures
import base64
import hmac
import select
import socket
import struct
import time

import state_folders
from program import LIMIT_SECONDS

VERSION = 1
MAC_BYTES = 32
SECRET = base64.b64decode(state_folders.FLEET_KEY)
KINDS = {
    1: "ping",
    2: "ack",
    3: "ping request",
    4: "replicated log",
    5: "founding",
    6: "ask",
    7: "reply",
    8: "news",
    9: "want",
    10: "grant",
    11: "words",
}
PING, ACK, PING_REQUEST, LOG, ASK, NEWS = 1, 2, 3, 4, 6, 8
NEWS_ASKED, NEWS_TOLD = 1, 2

# Message types of the replicated log.
APPEND_ENTRIES, REQUEST_VOTE, REQUEST_VOTE_RESULT = 1, 3, 4

AGAIN_SECONDS = 0.2
INCARNATION = 5 << 20  # of the simulated peers n1 and n2: their fifth start


def name_field(name):
    return bytes([len(name)]) + name.encode()


class Frame:
    """One decoded frame with a valid length and signature."""

    def __init__(self, data):
        (length,) = struct.unpack_from(">I", data)
        signature = hmac.digest(SECRET, data[:-MAC_BYTES], "sha256")
        if length != len(data) or signature != data[-MAC_BYTES:]:
            raise AssertionError("a frame with a wrong length or signature: %r" % data)
        self.version, self.kind = data[4], data[5]
        self.names = []
        at = 6
        for _ in range(3):
            self.names.append(data[at + 1 : at + 1 + data[at]].decode())
            at += 1 + data[at]
        self.identity, self.incarnation = struct.unpack_from(">QQ", data, at)
        self.body = data[at + 16 : -MAC_BYTES]


def encode(kind, sender, identity, incarnation, body):
    """Encodes a frame from a peer to n0."""
    head = bytes([VERSION, kind])
    head += b"".join(name_field(name) for name in ("tests", sender, "n0"))
    head += struct.pack(">QQ", identity, incarnation) + body
    data = struct.pack(">I", 4 + len(head) + MAC_BYTES) + head
    return data + hmac.digest(SECRET, data, "sha256")


def no_gossip(*parts):
    """Encodes a failure detector's body without news of other members."""
    return b"".join(parts) + b"\0"


class Peers:
    """Simulates n1 and n2. Acknowledges pings to the members in `answering`."""

    def __init__(self, fleet):
        self.answering = set()
        self.n0 = ("127.0.0.1", fleet.ports["n0"])
        self.sockets = {}
        self.identities = {}
        self.incarnations = {"n1": INCARNATION, "n2": INCARNATION}
        for name in ("n1", "n2"):
            self.sockets[name] = socket.socket(type=socket.SOCK_DGRAM)
            self.sockets[name].bind(("127.0.0.1", fleet.ports[name]))
            identity, _ = state_folders.member_identity(fleet.folder / name)
            self.identities[name] = int(identity)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for each in self.sockets.values():
            each.close()

    def send(self, sender, kind, body):
        incarnation = self.incarnations[sender]
        data = encode(kind, sender, self.identities[sender], incarnation, body)
        self.sockets[sender].sendto(data, self.n0)

    def refute_death(self):
        """Both members refute that they are dead, by a higher incarnation."""
        for name in self.sockets:
            self.incarnations[name] += 1
            self.send(name, PING, no_gossip(bytes(4)))

    def wait_for(self, what, condition, again=lambda: None):
        """Returns the first frame that meets the condition; calls `again` until
        then."""
        end = time.monotonic() + LIMIT_SECONDS
        next_time = 0
        while time.monotonic() < end:
            if time.monotonic() >= next_time:
                again()
                next_time = time.monotonic() + AGAIN_SECONDS
            for frame in self._receive():
                if condition(frame):
                    return frame
        raise AssertionError("no " + what)

    def answer_until(self, what, condition, again):
        """Answers probes until the condition holds. Checking it may take long."""
        end = time.monotonic() + LIMIT_SECONDS
        with concurrent.futures.ThreadPoolExecutor(1) as other_thread:
            while time.monotonic() < end:
                again()
                check = other_thread.submit(condition)
                while not check.done():
                    self._receive()
                if check.result():
                    return
        raise AssertionError("no " + what)

    def _receive(self):
        """Acknowledges and returns the frames that arrive within a short wait."""
        ready, _, _ = select.select(list(self.sockets.values()), [], [], 0.1)
        frames = [Frame(each.recv(65536)) for each in ready]
        for frame in frames:
            self._acknowledge(frame)
        return frames

    def _acknowledge(self, frame):
        receiver = frame.names[2]
        if frame.kind == PING and receiver in self.answering:
            body = no_gossip(frame.body[:4], name_field(""))
            self.send(receiver, ACK, body)


def show(title, frame, *body):
    """Formats one frame. `body` replaces its body, parts of which differ between
    runs."""
    fleet, sender, receiver = frame.names
    parts = [part.hex() if isinstance(part, bytes) else part for part in body]
    return (
        "# %s\nversion %d kind %d (%s) fleet %s from %s to %s\n"
        "identity %d incarnation %d\nbody %s\n\n"
    ) % (
        title,
        frame.version,
        frame.kind,
        KINDS[frame.kind],
        fleet,
        sender,
        receiver,
        frame.identity,
        frame.incarnation,
        " ".join(parts),
    )


def frames():
    """Records one frame of each kind that a member without sharing sends."""
    with state_folders.copy_of("fleet") as folder:
        fleet = state_folders.Fleet(folder, names=("n0",))
        with Peers(fleet) as peers, fleet:
            return (
                _detector_frames(peers)
                + _frames_to_leader(peers)
                + _ping_request(fleet, peers)
                + _log_frames(peers)
            )


def _detector_frames(peers):
    ping = peers.wait_for(
        "ping", lambda frame: frame.kind == PING and frame.names[2] == "n1"
    )
    text = show("a ping", ping, "<number>", "<gossip>")
    own_gossip = name_field("n1") + b"\x01" + struct.pack(">Q", INCARNATION)

    def is_ack(frame):
        return frame.kind == ACK and frame.names[2] == "n1"

    number = struct.pack(">I", 7)
    peers.send("n1", PING, no_gossip(number))
    ack = peers.wait_for("ack", is_ack)
    gossip_at = len(number) + 1
    if own_gossip not in ack.body[gossip_at + 1 :]:
        raise AssertionError("the member does not tell n1 what it knows of n1")
    text += show("an ack", ack, ack.body[:gossip_at], "<gossip>", own_gossip)

    about = struct.pack(">I", 8) + name_field("n2")
    peers.send("n1", PING_REQUEST, no_gossip(about))
    ack = peers.wait_for("ack of a ping request", is_ack)
    return text + show(
        "an ack of a ping request", ack, ack.body[: len(about)], "<gossip>"
    )


def _frames_to_leader(peers):
    """Records the frames that the member sends once n1 claims to be the leader."""
    claim = bytes([NEWS_TOLD]) + struct.pack(">Q", 0) + name_field("n1") + bytes(4)

    def announce_leader():
        peers.send("n1", PING, no_gossip(struct.pack(">I", 9)))
        peers.send("n1", NEWS, claim)

    ask = peers.wait_for("command", lambda frame: frame.kind == ASK, announce_leader)
    news = peers.wait_for("news", lambda frame: frame.kind == NEWS, announce_leader)
    return show("a command for the leader", ask, ask.body) + show(
        "a request for news", news, news.body
    )


def _ping_request(fleet, peers):
    """Records the request to n2 to ping n1, while n2 answers and n1 does not."""
    peers.answering = {"n1", "n2"}
    # While it doubts its own links, the member allows others more time.
    peers.answer_until(
        "trust in its own links",
        lambda: "doubt=0 " in fleet.ask("n0", "members"),
        peers.refute_death,
    )
    peers.answering = {"n2"}
    request = peers.wait_for(
        "ping request", lambda frame: frame.kind == PING_REQUEST, peers.refute_death
    )
    about = request.body[4 : 4 + len(name_field("n1"))]
    return show("a ping request", request, "<number>", about, "<gossip>")


def _log_message(peers, what, condition):
    return peers.wait_for(
        what,
        lambda frame: frame.kind == LOG
        and frame.names[2] == "n2"
        and condition(frame.body),
        peers.refute_death,
    )


def _is_vote_request(body, pre_vote):
    return body[8] == REQUEST_VOTE and body[-1] == pre_vote


def _grant_vote(peers, request, last_field):
    """Grants n2's vote. `last_field` is 1 for a pre-vote and 2 for a vote."""
    term = request.body[9:17]
    body = struct.pack(">QB", request.identity, REQUEST_VOTE_RESULT) + term
    peers.send("n2", LOG, body + bytes([1, last_field]))


def _log_frames(peers):
    """Records an election that n2's vote decides, and the new leader's first
    entries."""
    news_request = bytes([NEWS_ASKED]) + struct.pack(">QQ", 0, 5)
    pre_vote = _log_message(peers, "pre-vote", lambda b: _is_vote_request(b, 1))
    news = peers.wait_for(
        "news",
        lambda frame: frame.kind == NEWS and frame.body[0] == NEWS_TOLD,
        lambda: peers.send("n2", NEWS, news_request),
    )
    _grant_vote(peers, pre_vote, 1)
    vote = _log_message(peers, "vote", lambda b: _is_vote_request(b, 0))
    _grant_vote(peers, vote, 2)
    entries = _log_message(peers, "entries", lambda b: b[8] == APPEND_ENTRIES)
    return (
        show("a pre-vote of the replicated log", pre_vote, pre_vote.body)
        + show("the news of a member", news, news.body)
        + show("a vote of the replicated log", vote, vote.body)
        + show("the first entries of a leader", entries, entries.body)
    )
