"""A discovery agent whose faults the soak's schedule controls.

Posts of notifications and lists have separate faults. Each fault ends by itself.
"""

import enum
import random
import socket
import threading
import time

import agent
import rig

# The agent learns nothing from a post that it does not read. These faults are therefore
# limited to windows, one at the start of each period of the clock, which leave the
# forwarder time for another post before the notification is late.
UNREAD_WINDOW_S = 0.05
UNREAD_PERIOD_S = 0.4
SLOW_S = (0.11, 0.3)
VERY_SLOW_S = (0.5, 1.0)
PART_OF_ANSWER = b"HTTP/1.1 204 No Con"


class Fault(enum.Enum):
    SLOW = "slow"
    VERY_SLOW = "very slow"
    UNANSWERED = "read and not answered"
    CUT_ANSWER = "closed in the middle of the answer"
    ERROR = "answered with 500"
    REJECT_ID = "a certain id rejected"  # for posts only
    UNREAD = "not read"
    CUT_UNREAD = "closed unread"


POST_FAULTS = tuple(Fault)
LIST_FAULTS = tuple(fault for fault in Fault if fault != Fault.REJECT_ID)
UNREAD_FAULTS = (Fault.UNREAD, Fault.CUT_UNREAD)
DELAYS_S = {Fault.SLOW: SLOW_S, Fault.VERY_SLOW: VERY_SLOW_S}


def time_in_period(now):
    return now % UNREAD_PERIOD_S


def sleep_to_unread_window():
    time.sleep(UNREAD_PERIOD_S - time_in_period(time.monotonic()))


class FaultSpan:
    """One fault that ends at the time `end`."""

    def __init__(self, fault, seconds, rng, only_in_windows=False):
        self.fault = fault
        self.begin = time.monotonic()
        self.end = self.begin + seconds
        self.rng = rng
        # The fault is only active in the unread windows.
        self.only_in_windows = only_in_windows
        self.rejected = None  # the id, set by the first post

    def active(self):
        now = time.monotonic()
        if now >= self.end:
            return False
        if not self.only_in_windows:
            return True
        # A window has only one fault, so that faults do not add up.
        window_begin = now - time_in_period(now)
        return self.begin <= window_begin and time_in_period(now) < UNREAD_WINDOW_S

    def delay(self):
        return self.rng.uniform(*DELAYS_S[self.fault])


class PostShare:
    """Injects one fault into a random share of the posts of the whole schedule."""

    FAULTS = {
        "cut": Fault.CUT_UNREAD,
        "silent": Fault.UNREAD,
        "refused": Fault.REJECT_ID,
        "unconfirmed": Fault.UNANSWERED,
    }

    def __init__(self, name, share, seed):
        self.fault = self.FAULTS[name]
        self.share = share
        self.rng = random.Random(seed)
        self.lock = threading.Lock()

    def draw(self):
        with self.lock:
            return self.rng.random() < self.share


class SoakAgentHandler(agent.AgentHandler):
    def leave_unread(self, span):
        """Returns whether the request stays unread; then its connection ends."""
        if span is None or span.fault not in UNREAD_FAULTS:
            return False
        if span.fault == Fault.UNREAD:
            self.server.release.wait(timeout=rig.LIMIT)
        self.close_connection = True
        return True

    def do_POST(self):
        if self.leave_unread(self.server.active_fault(self.server.post_fault)):
            return
        share = self.server.post_share
        self.share_fault = share.fault if share and share.draw() else None
        if self.share_fault == Fault.REJECT_ID:
            self.rfile.read(int(self.headers["Content-Length"]))
            return self.reply(400)
        if not self.leave_unread(share if self.share_fault else None):
            super().do_POST()

    def confirms(self):
        """Returns whether a post that was read is answered."""
        return self.share_fault != Fault.UNANSWERED

    def do_GET(self):
        span = self.server.active_fault(self.server.list_fault)
        if self.leave_unread(span):
            return
        if span is not None and span.fault == Fault.ERROR:
            return self.reply(500)
        if span is not None and span.fault in DELAYS_S:
            time.sleep(span.delay())
        super().do_GET()

    def chunk(self, text):
        span = self.server.active_fault(self.server.list_fault)
        if span is None:
            return super().chunk(text)
        if span.fault in DELAYS_S:
            time.sleep(span.delay())
            return super().chunk(text)
        if span.fault in (Fault.UNANSWERED, Fault.UNREAD):
            self.server.release.wait(timeout=rig.LIMIT)
        if span.fault == Fault.CUT_ANSWER:
            self.wfile.write(b"%x\r\n%s" % (len(text), text[: len(text) // 2].encode()))
        raise ConnectionAbortedError


class SoakAgent(agent.Agent):
    def __init__(self):
        super().__init__()
        self.RequestHandlerClass = SoakAgentHandler
        self.on_post = self.answer_post
        self.post_fault = None
        self.list_fault = None
        self.post_share = None
        self.read_at = {}  # time of the first read notification, by message
        self.deferred_at = {}  # time of the first `deferred` notification, by message
        self.statuses = {}  # all statuses read, by message

    @staticmethod
    def active_fault(span):
        return span if span is not None and span.active() else None

    def begin_post_fault(self, fault, seconds, seed):
        only_in_windows = fault in UNREAD_FAULTS
        self.post_fault = FaultSpan(
            fault, seconds, random.Random(seed), only_in_windows
        )

    def begin_list_fault(self, fault, seconds, seed):
        self.list_fault = FaultSpan(fault, seconds, random.Random(seed))

    def end_faults(self):
        self.post_fault = None
        self.list_fault = None

    def answer_post(self, post):
        """Returns the answer to a post that was read."""
        span = self.active_fault(self.post_fault)
        fault = span.fault if span else None
        if fault == Fault.REJECT_ID and self.rejects(span, post):
            # Each post with this id is rejected, so only this id counts as read.
            self.note_read([span.rejected], post)
            return 400
        self.note_read(post.ids, post)
        if not post.confirms:
            self.release.wait(timeout=rig.LIMIT)
            return None
        if self.refused_notices > 0:
            self.refused_notices -= 1
            return 500
        if fault == Fault.ERROR:
            return 500
        if fault == Fault.CUT_ANSWER:
            return PART_OF_ANSWER
        if fault == Fault.UNANSWERED:
            self.release.wait(timeout=rig.LIMIT)
            return None
        if fault in DELAYS_S:
            time.sleep(span.delay())
        return 204

    def rejects(self, span, post):
        """Returns whether the fault rejects the post: it rejects the first id that it
        sees, and each post that contains it."""
        with self.changed:
            span.rejected = span.rejected or post.ids[0]
        return span.rejected in post.ids

    def note_read(self, ids, post):
        with self.changed:
            for message in ids:
                self.read_at.setdefault(message, post.arrived)
            for line in post.lines:
                name, status = line["id"], line["status"]
                self.statuses.setdefault(name, set()).add(status)
                if status == "deferred":
                    self.deferred_at.setdefault(name, post.arrived)

    def refuse_connections(self):
        """Closes open connections and refuses new ones during one unread window."""
        if self.post_fault is not None and self.post_fault.only_in_windows:
            self.post_fault = None
        sleep_to_unread_window()
        self.shutdown()
        self.socket.close()
        listener = socket.socket(self.address_family, self.socket_type)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.server_address)  # keeps the port reserved
        self.cut_connections()
        time.sleep(UNREAD_WINDOW_S)
        listener.listen(self.request_queue_size)
        self.socket = listener
        self.start(rig.STAND_IN_POLL_S)
