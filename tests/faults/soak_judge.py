"""Checks whether each accepted message had its final answer in time.

The rule comes from the protocol page: a message is delivered by its deadline, or the
platform's agent has read its notification at most 300 ms after the deadline. No
notification is overdue from the signal of a restart until 1.5 s after the next process
is ready.
"""

import threading
import time

NOTIFICATION_LIMIT_S = 0.3  # after the deadline
RESTART_GRACE_S = 1.5  # after the next process is ready
REPLY_LIMIT_S = 0.4  # longest that a client waits for the reply
HEARTBEAT_S = 0.005
AROUND_S = 0.1  # range around a moment in which scheduling delays count


class Heartbeat:
    """Measures the scheduling delays of the threads of this process."""

    def __init__(self):
        self.lateness = []  # (time, delay)
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.stopping.is_set():
            due = time.monotonic() + HEARTBEAT_S
            time.sleep(HEARTBEAT_S)
            now = time.monotonic()
            self.lateness.append((now, now - due))

    def stop(self):
        self.stopping.set()
        self.thread.join()

    def worst(self, begin, end):
        return max(
            (late for at, late in self.lateness if begin <= at <= end), default=0
        )


class Message:
    """One accepted message, as its client saw it."""

    def __init__(self, name, sent_at, left_s, replied_at):
        self.name = name
        self.sent_at = sent_at
        self.deadline = sent_at + left_s
        self.replied_at = replied_at

    def client_waited(self):
        """Returns whether the reply came in time; otherwise the message is not
        checked."""
        return self.replied_at - self.sent_at <= REPLY_LIMIT_S

    def is_delivered(self, answered_at):
        """`answered_at`: time at which an endpoint answered with 200; None if none
        did."""
        if answered_at is None:
            return False
        return answered_at <= self.deadline or not self.client_waited()


def merge(spans):
    """Returns the same spans of time, sorted and with overlapping spans joined."""
    merged = []
    for begin, end in sorted(spans):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((begin, end))
    return merged


def due_after_restarts(deadline, excused_spans):
    due = deadline + NOTIFICATION_LIMIT_S
    for begin, end in excused_spans:
        if begin <= deadline < end:
            return end + NOTIFICATION_LIMIT_S
        if begin <= due < end:
            return end
    return due


def notification_due(deadline, excused_spans, long_pauses):
    """Returns the time from which the notification is overdue. The spans must be
    merged. The time limit does not run during long pauses of the process, which are
    longer than a machine would cause."""
    due = due_after_restarts(deadline, excused_spans)
    for begin, end in long_pauses:
        clock_starts = due - NOTIFICATION_LIMIT_S
        if begin < due and clock_starts < end:
            due += end - max(begin, clock_starts)
    return due


def late_messages(
    messages, answered_at, read_at, excused_spans, long_pauses, heartbeat
):
    """Returns the messages with neither a delivery nor a notification in time:
    (message, due time, lateness of the notification or None if none was read, allowed
    lateness)."""
    spans = merge(excused_spans)
    pauses = merge(long_pauses)
    late = []
    for message in messages:
        if not message.client_waited():
            continue
        if message.is_delivered(answered_at.get(message.name)):
            continue
        due = notification_due(message.deadline, spans, pauses)
        read = read_at.get(message.name)
        if read is not None and read <= due:
            continue
        allowed = max(
            heartbeat.worst(message.sent_at - AROUND_S, message.sent_at + AROUND_S),
            heartbeat.worst(message.deadline - AROUND_S, due + AROUND_S),
        )
        if read is None or read > due + allowed:
            late.append((message, due, None if read is None else read - due, allowed))
    return late
