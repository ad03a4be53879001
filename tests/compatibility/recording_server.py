"""A server that acts as endpoint, discovery and notification receiver.

It records requests as bytes.
"""

import json
import socketserver
import threading

from program import LIMIT_SECONDS

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FULL = b"HTTP/1.1 429 Full\r\nWait-Ms: %d\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
HEALTH_CHECK = "GET /-/healthy"
SINGLE_CALL = "POST /events "
BATCH_CALL = "POST /events/bundle"
NOTICE = "POST /v2/finals"
WATCH = "GET /api/targets?watch"


class RecordingServer(socketserver.ThreadingTCPServer):
    """`answer` maps a request to a reply, both bytes; None closes the connection."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, answer=None):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.changed = threading.Condition()
        self.requests = []
        self.watch_generation = 0
        # Notices that contain these bytes are never confirmed.
        self.refuse_notices_with = None
        self.answer = answer or (lambda request: OK)
        # No list yet: the forwarder keeps using the list of its configuration.
        self.list = {"revision": 0, "complete": True, "members": []}
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.shutdown()
        self.server_close()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server_address[1]

    def announce(self, revision, members):
        """Sends a new endpoint list to the open watch."""
        with self.changed:
            self.list = {"revision": revision, "complete": True, "members": members}
            self.changed.notify_all()

    def end_watches(self):
        """Ends the open watches; later ones stay open."""
        with self.changed:
            self.watch_generation += 1
            self.changed.notify_all()

    def record(self, request):
        with self.changed:
            self.requests.append(request)
            self.changed.notify_all()

    def of(self, start, containing=b""):
        """Returns the requests that begin with `start` and contain `containing`."""
        with self.changed:
            return [
                request
                for request in self.requests
                if request.startswith(start.encode()) and containing in request
            ]

    def wait_for(self, start, count=1, containing=b""):
        """Returns the requests of one kind once there are at least `count`."""
        with self.changed:
            if not self.changed.wait_for(
                lambda: len(self.of(start, containing)) >= count, LIMIT_SECONDS
            ):
                raise AssertionError("no %s in %r" % (start, self.requests))
            return self.of(start, containing)

    def handle_error(self, request, client_address):
        """Ignores errors: the program may end any connection."""


class _Handler(socketserver.StreamRequestHandler):
    def handle(self):
        while True:
            request = self._read_request()
            if not request:
                return
            self.server.record(request)
            if request.startswith(WATCH.encode()):
                return self._stream_lists(request)
            answer = self._answer_to(request)
            if answer is None:
                return
            self.wfile.write(answer)

    def _answer_to(self, request):
        if request.startswith(NOTICE.encode()):
            refused = self.server.refuse_notices_with
            return SERVER_ERROR if refused and refused in request else NO_CONTENT
        return self.server.answer(request)

    def _read_request(self):
        request = b""
        length = 0
        while not request.endswith(b"\r\n\r\n"):
            line = self.rfile.readline()
            if not line:
                return b""
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
            request += line
        return request + self.rfile.read(length)

    def _stream_lists(self, request):
        """Keeps a watch open: sends a list for each change, and empty lines
        otherwise."""
        self.wfile.write(STREAM_HEAD)
        sent = int(request.split(b"from=")[1].split()[0])
        generation = self.server.watch_generation
        while generation == self.server.watch_generation:
            with self.server.changed:
                if self.server.list["revision"] <= sent:
                    self.server.changed.wait(timeout=1)
                current = self.server.list
            line = b"\n"
            if current["revision"] > sent:
                line = json.dumps(current).encode() + b"\n"
                sent = current["revision"]
            self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
