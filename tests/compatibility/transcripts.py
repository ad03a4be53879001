"""Records the program's wire output as text that can be compared.

Each function runs one fixed scenario and returns its transcript. Bytes are shown as
Python literals, one for each line of the protocol. Fields that differ from run to run
are masked by name.
"""

import re
import signal
import tempfile

import recording_server
from program import (
    Forwarder,
    closed_address,
    encode_command,
    encode_put,
    endpoint,
    wait_until,
)
from recording_server import OK, RecordingServer

MASKS = (
    (rb"(\r\nHost: 127\.0\.0\.1:)\d+", rb"\1<port>"),
    (rb"(\r\nX-Time-Left-Ms: )\d+", rb"\1<ms>"),
    (rb"(POST /v2/finals [^{]*\r\nContent-Length: )\d+", rb"\1<bytes>"),
    (rb'("again_ms":)\d+', rb"\1<ms>"),
    (rb"^(-BUSY )\d+", rb"\1<ms>"),
)


def mask(data):
    for pattern, replacement in MASKS:
        data = re.sub(pattern, replacement, data)
    return data


def show(title, data):
    """Formats one message of a transcript."""
    lines = mask(data).splitlines(keepends=True)
    return "".join(["# %s\n" % title] + ["%r\n" % line for line in lines]) + "\n"


class Scenario:
    """One forwarder with a client, and one server that plays all other parts."""

    def __init__(self, answer=None, address=None, **options):
        self.server = RecordingServer(answer)
        self.folder = tempfile.TemporaryDirectory()
        address = address or self.server.address
        members = [
            endpoint("single", address),
            endpoint("batch", address, "bundle", destination=2),
        ]
        self.forwarder = Forwarder(
            self.folder.name, self.server.address, members, **options
        )
        self.client = self.forwarder.connect()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.client.__exit__()
        self.forwarder.end(signal.SIGKILL)
        self.server.__exit__()
        self.folder.cleanup()

    def submit(self, *arguments, **options):
        """Submits a message repeatedly until the admission gate accepts it."""
        _submit(self.client, *arguments, **options)


def _submit(client, *arguments, **options):
    command = encode_put(*arguments, **options)
    wait_until("+OK", lambda: client.exchange(command) == b"+OK\r\n")


# ---- RESP ----

FIELDS = "c=plan-event,t=acme,d=20000,k=key,dest=1"
RESP_COMMANDS = (
    ("a ping", encode_command("PING")),
    ("a ping in lower case with a text", encode_command("ping", "some text")),
    ("an accepted message", encode_put("accepted", 1, "body")),
    ("a destination that no list names", encode_put("unlisted", 77, "body")),
    ("an unknown command", encode_command("NOSUCH")),
    ("too few arguments", encode_command("MSG.PUT")),
    ("too long a body", encode_put("too-long", 1, "x" * 65537)),
    ("a bad id", encode_put("bad id", 1, "body")),
)
RESP_BAD_FIELDS = (
    ("an unknown class", FIELDS.replace("plan-event", "nosuch")),
    ("an unknown tenant", FIELDS.replace("acme", "nosuch")),
    ("no key", FIELDS.replace("k=key,", "")),
    ("no class", FIELDS.replace("c=plan-event,", "")),
    ("no time left", FIELDS.replace("d=20000,", "")),
    ("no destination", FIELDS.replace(",dest=1", "")),
    ("an unknown field", FIELDS + ",z=1"),
    ("a field without a value", FIELDS + ",z"),
    ("a bad class", FIELDS.replace("plan-event", "")),
    ("a bad tenant", FIELDS.replace("acme", "a b")),
    ("a bad key", FIELDS.replace("k=key", "k=")),
    ("a bad time left", FIELDS.replace("20000", "soon")),
    ("a bad destination", FIELDS.replace("dest=1", "dest=-1")),
    ("marks of repeats", FIELDS + ",r=1,again=1"),
)
RESP_MALFORMED = (
    ("another protocol", b"GET / HTTP/1.1\r\n\r\n"),
    ("a length that is no number", b"*1\r\n$x\r\n"),
    ("a length that is too short", b"*1\r\n$1\r\nabc\r\n"),
    ("half a command", b"*5\r\n$7\r\nMSG"),
)


def resp_replies():
    """Records the reply to each kind of command."""
    text = ""
    with Scenario() as scenario:
        for title, command in RESP_COMMANDS:
            with scenario.forwarder.connect() as client:
                text += show(title, client.exchange(command))
        for title, fields in RESP_BAD_FIELDS:
            command = encode_command("MSG.PUT", "0" * 16, "id-1", fields, "body")
            with scenario.forwarder.connect() as client:
                text += show(title, client.exchange(command))
        with scenario.forwarder.connect() as client:
            text += show("a quit", client.exchange(encode_command("QUIT")))
            text += show("what follows a quit", client.read_reply())
        for title, data in RESP_MALFORMED:
            with scenario.forwarder.connect() as client:
                text += show(title, client.exchange(data))
                text += show("what follows " + title, client.read_reply())
    return text


def resp_reply_when_full():
    """Records the reply when the maximum number of messages is open."""
    address, reserved = closed_address()
    with reserved, Scenario(address=address, **{"open-cap": 3}) as scenario:
        replies = [
            scenario.client.exchange(encode_put("held-%d" % number, 1, "body"))
            for number in range(4)
        ]
    return show("more than may be held", replies[-1])


# ---- HTTP ----


def call_with_one_message():
    """Records a call with one message, whose body contains all byte values."""
    with Scenario() as scenario:
        scenario.submit("message-1", 1, bytes(range(256)))
        calls = scenario.server.wait_for(recording_server.SINGLE_CALL)
    return show("a call with one message", calls[0])


def call_with_several_messages():
    """Records a call with two messages that waited while the only worker was busy."""
    with Scenario(workers=1) as scenario:

        def answer(request):
            if b"X-Correlation-Id: first\r\n" not in request:
                return _batch_answer(request)
            with scenario.forwarder.connect() as client:
                _submit(client, "second", 2, b"body \x00\xff")
                _submit(client, "third", 2, "body 3")
            return OK

        scenario.server.answer = answer
        scenario.submit("first", 2, "body 1")
        calls = scenario.server.wait_for(recording_server.BATCH_CALL)
    return show("a call with several messages", calls[0])


def _batch_answer(request):
    ids = re.findall(rb'"id":"([^"]+)"', request)
    body = b",".join(b'{"id":"%s","state":"ok"}' % each for each in ids)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n[%s]" % (len(body) + 2, body)


def health_check():
    """Records the health check of an endpoint that failed."""
    with Scenario(answer=lambda request: None) as scenario:
        scenario.submit("message-1", 1, "body")
        checks = scenario.server.wait_for(recording_server.HEALTH_CHECK)
    return show("a health check", checks[0])


def notice_of_a_deferred_message():
    """Records the notice of a message whose deadline passed before it could run."""
    address, reserved = closed_address()
    with reserved, Scenario(address=address) as scenario:
        scenario.submit("late", 1, "body", time_left_ms=300)
        notices = scenario.server.wait_for(recording_server.NOTICE)
    return show("a notice of a deferred message", notices[0])


def notice_of_an_undeliverable_message():
    """Records the notice of a message that may have run but was not confirmed in
    time."""
    with Scenario(answer=lambda request: None) as scenario:
        scenario.submit("doubtful", 1, "body", keyed=False)
        notices = scenario.server.wait_for(recording_server.NOTICE)
    return show("a notice of an undeliverable message", notices[0])


def discovery_watch():
    """Records the first watch request, and the next one after a list and the watch's
    end."""
    with Scenario() as scenario:
        first = scenario.server.wait_for(recording_server.WATCH)[0]
        address = scenario.server.address
        scenario.server.announce(7, [endpoint("other", address, destination=5)])
        wait_until("the list", lambda: _accepts(scenario, destination=5))
        scenario.server.end_watches()
        from_new_list = scenario.server.wait_for(
            recording_server.WATCH, containing=b"from=7"
        )[0]
    return show("the first watch", first) + show("the next watch", from_new_list)


def _accepts(scenario, destination):
    command = encode_put("to-%d" % destination, destination, "body")
    return scenario.client.exchange(command) == b"+OK\r\n"
